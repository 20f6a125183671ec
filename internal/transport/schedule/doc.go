// Package schedule repeats work at a period until a context ends.
package schedule
