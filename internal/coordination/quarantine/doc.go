// Package quarantine finds the parts of prompts that crash upstreams, and decides when requests with such a part may be
// sent. It tells a part that crashes upstreams from the parts of requests that merely ran beside it by how answers go on
// elsewhere: an answer to a prompt with the former never goes on for more than a moment.
package quarantine
