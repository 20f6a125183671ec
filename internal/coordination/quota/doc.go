// Package quota divides each team's rate limit among the nodes: the node that owns the team grants the others slices
// of the limit for a short time.
package quota
