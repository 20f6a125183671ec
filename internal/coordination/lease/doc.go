// Package lease decides which node holds the lease of each engine pool, from the records of the log's leases stream.
package lease
