// Package upgrade replaces the processes of a site one by one, under traffic, by those of another build, with real
// processes.
package upgrade
