// Package entryvm assembles the gateway process of an entry VM, which reads its routes and upstreams from the
// platform's store.
package entryvm
