// Package shutdown takes a node out of service with the state machine of package drain: it tells the peers that the
// node is leaving, and waits for the requests in flight.
package shutdown
