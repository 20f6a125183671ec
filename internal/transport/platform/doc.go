// Package platform is an HTTP client for the platform's append-only log and its list of VMs.
package platform
