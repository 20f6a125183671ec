// Package claim decides which attempt at a request may be dispatched, so that the request runs at most once.
//
// An attempt appends a claim on the request's idempotency key to a partitioned log; the first claim in log order holds
// the key. An outcome record adds what came of the attempt that holds the key; a void withdraws the claim of an attempt
// that has not run and never will. Keys that a node issues itself are decided from that node's memory, without the log.
package claim
