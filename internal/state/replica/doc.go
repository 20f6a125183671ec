// Package replica holds the upstreams as one node sees them: an immutable table with atomic counters in it.
package replica
