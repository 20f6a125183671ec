// Package admission queues the requests for a pool by priority tier, limits how many run at once, and refuses those
// that cannot be served in time.
package admission
