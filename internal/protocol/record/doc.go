// Package record encodes the records of the log streams, each with an authentication code over its content.
package record
