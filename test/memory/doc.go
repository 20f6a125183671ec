// Package memory tests that a gateway process stays under half of the memory limit of the smallest VM, whatever routes,
// peers, callers and upstreams send it. The store, the peers, the callers and the upstreams are stand-ins on the loopback
// interface.
package memory
