// Package fleet starts nodes and stand-ins as separate processes on the loopback address, for end-to-end tests.
package fleet
