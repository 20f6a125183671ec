// Package entry orders the entry VMs that a team should use.
package entry
