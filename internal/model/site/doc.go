// Package site simulates a site, that is a whole installation of lagoongw: callers, entry VMs (called nodes), engines,
// plain services, which are the upstreams that are not engines, and the network links between regions. The nodes choose
// upstreams with package dispatch, or under a policy that it is compared with.
package site
