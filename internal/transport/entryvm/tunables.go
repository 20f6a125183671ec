package entryvm

import (
	"time"

	"lagoongw/internal/coordination/retry"
)

// Tunables are the settings that may change while a process runs.
type Tunables struct {
	// Seeds are peer addresses to begin with.
	Seeds []string
	// GracePeriod is the time between the signal to stop and the kill.
	GracePeriod time.Duration
	// RetryAllowance bounds the repeated sends of all nodes together.
	RetryAllowance retry.Allowance
}

// Reconfigure puts changed settings into force.
func (p *Process) Reconfigure(tunables Tunables) {
	p.tunables.Store(&tunables)
	p.members.SetContacts(tunables.Seeds)
	p.drainer.SetTimeouts(
		time.Duration(lingerPart*float64(tunables.GracePeriod)),
		time.Duration(endPart*float64(tunables.GracePeriod)),
	)
}
