// Package members drives the membership machine over peer connections.
package members
