// Package wire holds the types that cross process boundaries, generated from the schema beside it.
package wire
