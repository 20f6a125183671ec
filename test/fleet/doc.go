// Package fleet starts the program and its stand-ins as separate processes on the loopback address, for whole-program checks.
package fleet
