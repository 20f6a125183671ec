// Package record encodes and decodes the records of the log streams, each with a message authentication code over its
// stream and content.
package record
