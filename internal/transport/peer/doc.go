// Package peer carries the messages between entry VMs over jsonrpc2, with authenticated connections and bounded frames.
package peer
