// Package platform is the client of the platform's append-only log and list of VMs.
package platform
