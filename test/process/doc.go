// Package process tests a fleet of processes under kills, freezes (SIGSTOP) and outages of the log.
package process
