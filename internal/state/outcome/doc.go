// Package outcome names what can become of a request and remembers it for callers who ask later.
package outcome
