// Package detour connects to upstreams through other nodes where this node's own path to them is broken, and serves such
// connections to other nodes. A connection through a node carries the same bytes as a direct one, so that all that is decided
// about a request is decided at the node that the caller asked.
package detour
