// Package claim decides which node may dispatch a request that must run at most once.
//
// A node appends a claim on the request's idempotency key to a partitioned log; the first claim in log order wins.
// Keys that a node issues itself are decided from that node's memory, without the log.
package claim
