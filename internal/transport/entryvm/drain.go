package entryvm

import (
	"time"

	"lagoongw/internal/coordination/drain"
)

const (
	// refuseAfterShare is the share of the grace period in which a leaving node accepts all requests, and maxRefuseAfter the
	// longest such time: about as long as callers cache the directory's answer. The rest of the grace period is for the
	// answers.
	refuseAfterShare = 0.3
	maxRefuseAfter   = 2500 * time.Millisecond
	// drainTimeoutShare is the share of the grace period after which requests in flight are ended, before the platform
	// kills the process.
	drainTimeoutShare = 0.94
	// stopShare is the share of the grace period for which the last answers and the calls in flight of background work are
	// waited for after that.
	stopShare = 0.03
)

// setDrainTimeouts derives the times of a drain from the grace period.
func (p *Process) setDrainTimeouts(grace time.Duration) {
	p.drainer.SetTimeouts(
		min(share(grace, refuseAfterShare), maxRefuseAfter),
		share(grace, drainTimeoutShare),
	)
}

func share(whole time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(whole))
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
