// Package schedule runs work periodically and pauses, both until a context ends.
package schedule
