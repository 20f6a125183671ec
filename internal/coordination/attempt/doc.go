// Package attempt decides after each send of a request to an upstream whether to send it again, and otherwise what the
// caller gets: the response, or an error that says whether the request may have run. The gateway and its simulation
// follow these decisions.
package attempt
