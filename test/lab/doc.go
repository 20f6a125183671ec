// Package lab runs nodes and stand-ins inside one test process, where the race detector sees them.
package lab
