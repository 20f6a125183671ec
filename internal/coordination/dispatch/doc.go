// Package dispatch chooses the upstream with the lowest cost for each request of the gateway command. The cost is the
// predicted response time, from the requests that this node has sent and the loads that other nodes advertise, plus
// what the upstream's failures, its load and the prefill of the prompt are expected to cost. Package routing makes this
// choice for the serve command.
package dispatch
