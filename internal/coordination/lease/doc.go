// Package lease decides which node holds the lease of each engine pool, from the records of the log's leases stream.
// The holder may send orders to the pool's engines. Each order carries the fencing number of the lease, so that engines
// can refuse the orders of an earlier holder.
package lease
