// Package roster maintains the list of upstreams from the entries of a service registry. Entries that expire because of
// an outage of the registry are kept for a while.
package roster
