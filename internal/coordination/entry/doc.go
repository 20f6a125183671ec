// Package entry selects and orders the entry VMs that a team should use.
package entry
