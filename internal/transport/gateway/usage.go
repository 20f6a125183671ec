package gateway

import "lagoongw/internal/state/route"

// Usage counts the requests of each team that began to run, for the reports to the platform.
type Usage interface {
	// Began counts a request of a team; it must not block.
	Began(team string)
}

// countUsage counts the request once, however often it is sent. Requests without a team are not counted.
func (x *exchange) countUsage() {
	if x.server.Usage == nil || x.team == "" || x.usageCounted {
		return
	}
	x.usageCounted = true
	x.server.Usage.Began(x.team)
}

// countPlainUsage counts a request whose answer is not a stream. An upstream that answers a stream's request otherwise has
// generated nothing.
func (x *exchange) countPlainUsage() {
	if x.route.Kind() != route.Stream {
		x.countUsage()
	}
}
