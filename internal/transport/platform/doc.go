// Package platform is the client of the platform's append-only log, list of VMs and weight store.
package platform
