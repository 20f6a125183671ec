// Package gateway forwards callers' requests to upstreams: it matches the route, identifies the team, chooses an
// upstream, sends the request, and gives exactly one final answer. It never claims that a request has not run when it
// may have.
package gateway
