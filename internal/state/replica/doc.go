// Package replica holds one node's view of the upstreams: immutable snapshots of replicas with atomic counters.
package replica
