// Package members runs the gossip membership protocol of package membership over peer connections.
package members
