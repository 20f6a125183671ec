// Package upstreams keeps the table of upstreams current, from the platform's list of VMs and from load reports.
package upstreams
