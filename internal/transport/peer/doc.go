// Package peer implements JSON-RPC between entry VMs, over mutually authenticated TCP connections and size-limited,
// compressed frames.
package peer
