// Package fleet starts nodes and stand-ins as separate processes on the loopback address, for end-to-end tests and
// measurements, and sends nodes the requests of callers and operators.
package fleet
