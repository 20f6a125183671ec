// Package entryvm assembles the gateway process of an entry VM, which gets its routes and upstreams from the platform's
// store or from other entry VMs. In this package a node is an entry VM with its process, a member is a node that the
// membership protocol knows, and a peer is any other node. The gateway command runs the Process.
package entryvm
