// Package leases holds the lease of the engine pool through the log, and sends the engines their orders under it.
package leases
