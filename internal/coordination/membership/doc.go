// Package membership keeps the list of entry VMs by probes and bounded digests, at a constant load for each node.
package membership
