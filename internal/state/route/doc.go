// Package route provides the routing table: an immutable, versioned set of routes, pools, teams and limits.
package route
