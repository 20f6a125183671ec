// Package record encodes the records of the log streams, each with a message authentication code over its content.
package record
