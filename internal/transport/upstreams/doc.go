// Package upstreams keeps the table of upstreams current, from the platform's list of VMs, from load reports and from
// other signs that an upstream is leaving.
package upstreams
