package entryvm

import (
	"lagoongw/internal/transport/gateway"
)

// metrics returns the gateway's metrics, extended by gauges of the process.
func (p *Process) metrics() *gateway.Metrics {
	m := gateway.NewMetrics()
	m.RegisterGauge("routes_version", "Version of the routes in force, 0 for none.", func() float64 {
		if table := p.Catalog.CurrentRoutes(); table != nil {
			return float64(table.Version())
		}
		return 0
	})
	m.RegisterGauge("upstreams", "Upstreams that are listed.", func() float64 { return float64(p.table.Load().Len()) })
	m.RegisterGauge("upstreams_age_seconds", "Time since the list of upstreams was last found current.", func() float64 {
		return p.Catalog.UpstreamsAge().Seconds()
	})
	m.RegisterGauge("members_live", "Entry VMs believed alive.", func() float64 { return float64(p.members.LiveCount()) })
	m.RegisterGauge("in_flight", "Requests that are being served.", func() float64 { return float64(p.gateway.InFlight()) })
	m.RegisterGauge("upstream_connections_opened", "Connections opened to upstreams.", func() float64 {
		opened, _ := p.connections.Counts()
		return float64(opened)
	})
	m.RegisterGauge("log_lines_dropped", "Log lines dropped because too many waited.", func() float64 {
		return float64(p.DroppedLines())
	})
	return m
}
