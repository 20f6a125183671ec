// Package lab runs nodes and stand-ins inside the test process, where the race detector covers them.
package lab
