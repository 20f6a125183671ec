// Package experiment simulates the installation of an experiment file under several policies and seeds, and writes
// tables, JSON lines and plots of the results.
package experiment
