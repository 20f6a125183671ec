package entryvm

import "lagoongw/internal/transport/httpapi"

// fixedTimeouts returns the limits for clients for which the operator sets none.
func fixedTimeouts() httpapi.Timeouts {
	return httpapi.Timeouts{
		Header: headerTimeout,
		Idle:   callerIdleTimeout,
	}
}

// callerTimeouts returns the operator's limits on the time that callers may take, where there are any.
func (p *Process) callerTimeouts() httpapi.Timeouts {
	timeouts := fixedTimeouts()
	table := p.Catalog.CurrentRoutes()
	if table == nil {
		return timeouts
	}
	if limit := table.Limits().HeaderTimeout; limit > 0 {
		timeouts.Header = limit
	}
	if limit := table.Limits().IdleTimeout; limit > 0 {
		timeouts.Idle = limit
	}
	return timeouts
}
