// Package process tests a fleet of processes: orders while nodes are killed or frozen (SIGSTOP) and the log and order
// services are faulty, a drain on SIGTERM, and publishes by several operators at once and during an outage of the log.
package process
