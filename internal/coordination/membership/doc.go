// Package membership tracks the live entry VMs with a gossip protocol similar to SWIM (Das, Gupta and Motivala, 2002).
// Probes carry digests with a bounded number of members, so that the load on each node is constant.
package membership
