// Package gateway forwards callers' requests to upstreams: it matches the route, identifies the team, chooses an
// upstream and sends it the request, until one answer is final. An answer is an HTTP response, either an upstream's or
// one that this node writes itself. The caller gets exactly one, which never claims that a request has not run when it
// may have; one that was begun and can't be completed is aborted. The entry VM's process creates the Server.
package gateway
