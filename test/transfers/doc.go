// Package transfers measures, with real processes, what it takes to bring large routes to all nodes.
package transfers
