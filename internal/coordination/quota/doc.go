// Package quota shares the limits of teams between nodes by short slices from each team's owner node.
package quota
