// Package quarantine finds what crashes upstreams, a part of prompts or a request that comes again, and decides when it may
// be sent. It tells it from what merely ran beside it by how requests go on elsewhere: one with the former never goes on for
// more than a moment.
package quarantine
