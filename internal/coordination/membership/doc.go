// Package membership tracks the live entry VMs with a gossip protocol similar to SWIM (Das, Gupta and Motivala, 2002).
// Probes carry digests with a bounded number of member rows, so that the load on each node does not grow with the
// number of nodes; only the answer to a node that lacks members is longer.
package membership
