// Package dispatch chooses the upstream of each request by predicted response time. The prediction uses the requests
// that this node has sent, the loads that other nodes advertise, and the observed health of each upstream.
package dispatch
