// Package process proves promises on whole processes, with kills, freezes and outages.
package process
