package entryvm

import (
	"time"

	"lagoongw/internal/coordination/drain"
)

// setDrainTimeouts derives the times of a drain from the grace period.
func (p *Process) setDrainTimeouts(grace time.Duration) {
	times := drain.TimeoutsFor(grace)
	p.drainer.SetTimeouts(times.RefuseAfter, times.Timeout)
}

// Drain starts taking the node out of service; further calls have no effect.
func (p *Process) Drain() {
	p.drainer.Begin()
	if p.Duties != nil {
		p.Duties.Release()
	}
}

// Phase returns the current phase of the drain.
func (p *Process) Phase() drain.Phase { return p.drainer.Phase() }
