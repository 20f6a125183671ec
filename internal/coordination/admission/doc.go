// Package admission queues the requests for a pool by priority tier and limits how many run at once. It refuses those
// that cannot be served in time, sheds waiting requests of the lowest tiers when the queue is full, and preempts
// running streams of lower tiers for urgent requests. A node of the serve command has one Gate for each pool, which
// blocks the goroutines of its requests; a Queue makes the decisions.
package admission
