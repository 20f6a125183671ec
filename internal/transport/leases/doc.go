// Package leases acquires and renews the lease of an engine pool through the log and, while this node holds the lease,
// sends placement orders to the engines.
package leases
