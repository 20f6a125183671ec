package entryvm

import (
	"lagoongw/internal/coordination/memory"
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
	m.RegisterGauge("limited_upstreams", "Upstreams that have named a limit.",
		func() float64 { return float64(p.dispatcher.LimitedUpstreams()) })
	m.RegisterGauge("broken_paths", "Upstreams that other entry VMs reach and this one doesn't.",
		func() float64 { return float64(p.detours.BrokenPaths()) })
	m.RegisterGauge("cut_off", "1 while this entry VM takes itself for cut off from all upstreams.", func() float64 {
		if p.detours.CutOff() {
			return 1
		}
		return 0
	})
	m.RegisterGauge("detours", "Connections that are open to upstreams for other entry VMs.",
		func() float64 { return float64(p.detourServer.Connections()) })
	m.RegisterGauge("stream_origins", "Streams of which this node knows where they began.", func() float64 {
		kept, _ := p.origins.Count()
		return float64(kept)
	})
	m.RegisterGauge("stream_origins_untold", "Streams that began here and of which a keeper is still to be told.",
		func() float64 {
			_, untold := p.origins.Count()
			return float64(untold)
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
	p.registerMemoryGauges(m)
	p.registerBudgetGauges(m)
	p.registerDutyGauges(m)
	return m
}

// registerBudgetGauges adds gauges of the memory budget by use.
func (p *Process) registerBudgetGauges(m *gateway.Metrics) {
	for use := range memory.Uses {
		m.RegisterGauge("memory_"+use.String()+"_limit_bytes", "Share of the memory for "+use.String()+".",
			func() float64 { return float64(p.memoryBudget.Limit(use)) })
		m.RegisterGauge("memory_"+use.String()+"_refused", "How often there was no memory left for "+use.String()+".",
			func() float64 { return float64(p.memoryBudget.Refused(use)) })
	}
	m.RegisterGauge("memory_events_bytes", "Unfinished events of streams that are held.",
		func() float64 { return float64(p.memoryBudget.Held(memory.Events)) })
	m.RegisterGauge("caller_connections", "Callers' connections, idle or not.",
		func() float64 { return float64(p.callers.open.Load()) })
	m.RegisterGauge("caller_connections_limit", "Callers' connections that are accepted.",
		func() float64 { return float64(p.callers.limit) })
	m.RegisterGauge("caller_connections_refused", "Callers' connections refused because too many were open.",
		func() float64 { return float64(p.callers.refused.Load()) })
}

// registerMemoryGauges adds gauges of what holds the memory of the process.
func (p *Process) registerMemoryGauges(m *gateway.Metrics) {
	m.RegisterGauge("memory_limit_bytes", "Memory above which the platform kills the process, 0 if unknown.",
		func() float64 { return float64(p.MemoryLimit) })
	for _, gauge := range []struct {
		name, help string
		read       func(use memoryUse) int64
	}{
		{
			name: "memory_resident_bytes",
			help: "Memory that counts towards the limit.",
			read: func(use memoryUse) int64 { return use.resident },
		},
		{
			name: "memory_file_bytes",
			help: "Resident memory that is mapped from files, such as the program.",
			read: func(use memoryUse) int64 { return use.file },
		},
		{
			name: "memory_heap_bytes",
			help: "Objects on the heap, live or not yet collected.",
			read: func(use memoryUse) int64 { return use.heap },
		},
		{
			name: "memory_stacks_bytes",
			help: "Stacks of goroutines.",
			read: func(use memoryUse) int64 { return use.stacks },
		},
		{
			name: "memory_requests_bytes",
			help: "Requests in flight, with their bodies.",
			read: func(use memoryUse) int64 { return use.requests },
		},
		{
			name: "memory_answers_bytes",
			help: "Upstreams' answers that are held until they are complete.",
			read: func(use memoryUse) int64 { return use.answers },
		},
		{
			name: "goroutines",
			help: "Goroutines.",
			read: func(use memoryUse) int64 { return use.goroutines },
		},
	} {
		m.RegisterGauge(gauge.name, gauge.help, func() float64 { return float64(gauge.read(p.memoryReporter.use())) })
	}
	m.RegisterGauge("peer_calls", "Pushes to peers that have not been answered yet.",
		func() float64 { return float64(p.outgoing.calls.Load()) })
}
