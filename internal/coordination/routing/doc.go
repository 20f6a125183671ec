// Package routing chooses the upstream of each request by this node's own requests, reported loads, cached prompt
// prefixes and distance.
package routing
