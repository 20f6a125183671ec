package entryvm

import "lagoongw/internal/coordination/drain"

// Drain starts taking the node out of service; further calls have no effect.
func (p *Process) Drain() {
	p.drainer.Begin()
	if p.Duties != nil {
		p.Duties.Release()
	}
}

// Phase returns the current phase of the drain.
func (p *Process) Phase() drain.Phase { return p.drainer.Phase() }
