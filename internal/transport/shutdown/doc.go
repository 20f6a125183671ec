// Package shutdown takes a process out of service by the drain state machine, while requests go on.
package shutdown
