// Package wire holds the types of messages and stored records, generated from the schema in internal/protocol/schema.
package wire
