// Package site runs entry VMs of a site as real processes, with a stand-in of the platform's store, for tests of stops, troubles and
// upgrades.
package site
