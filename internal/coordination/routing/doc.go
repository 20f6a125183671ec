// Package routing chooses the upstream with the lowest estimated time to the first token for each request of the serve
// command. The estimate depends on this node's own requests, reported loads, cached prompt prefixes and distance. Slow
// and failing upstreams are excluded for a time, and other regions while the bandwidth of the link is used up. Package
// dispatch makes this choice for the gateway command.
package routing
