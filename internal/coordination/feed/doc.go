// Package feed keeps copies of a store's topics at every node while few nodes read the store: it merges the updates
// that are read from the store or received from peers, and schedules which node reads next.
package feed
