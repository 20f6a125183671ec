package entryvm

import (
	"context"

	"lagoongw/internal/transport/gateway"
)

// prepareDuties prepares the lease of the duties, if there are any.
func (p *Process) prepareDuties() {
	if p.Duties == nil {
		return
	}
	p.Duties.Live = func() []string { return p.members.LiveNames("") }
	p.Duties.Logger = p.Logger
	p.Duties.Prepare()
}

// runDuties keeps or claims the lease of the duties from when this node joins the members until the context ends.
func (p *Process) runDuties(ctx context.Context) {
	if p.Duties == nil {
		return
	}
	p.awaitCatalog(ctx)
	p.Duties.Run(ctx)
}

// registerDutyGauges adds gauges of the holder of the duties, if there are any.
func (p *Process) registerDutyGauges(m *gateway.Metrics) {
	if p.Duties == nil {
		return
	}
	m.RegisterGauge("duty_held", "1 while this entry VM holds the lease of the duties.", func() float64 {
		if _, held := p.Duties.Held(); held {
			return 1
		}
		return 0
	})
	m.RegisterGauge("duty_number", "Fencing number of the holder of the duties that is known here, 0 for none.",
		func() float64 { return float64(p.Duties.Status().Number) })
	m.RegisterGauge("duty_holder_seconds", "Time since the holder of the duties is known here, 0 for none.",
		func() float64 { return p.Duties.Age().Seconds() })
	m.RegisterGauge("duty_refused_calls", "Calls of this entry VM that the platform API refused for a higher number.",
		func() float64 { return float64(p.Duties.Status().Refused) })
}
