// Package shutdown takes a process out of service with the drain state machine, while requests in flight go on.
package shutdown
