// Package lab runs nodes and stand-ins inside the test process, where the race detector covers them and tests can
// configure and inspect them directly.
package lab
