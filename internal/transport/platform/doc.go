// Package platform is an HTTP client for the platform that the serve command needs: its append-only log and its list of
// VMs. The platform of the gateway command, which has a store, is in package lagoongw/platform.
package platform
