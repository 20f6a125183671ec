package entryvm

import (
	"time"

	"lagoongw/internal/coordination/retry"
)

// Tunables are the settings that can change while the process runs.
type Tunables struct {
	// Seeds are the peer addresses that a starting node loads the topics from, and that are probed while they belong to no
	// live member.
	Seeds []string
	// GracePeriod is the time from the stop signal until the platform kills the process.
	GracePeriod time.Duration
	// RetryAllowance bounds the retries of all nodes together.
	RetryAllowance retry.Allowance
}

// Reconfigure applies changed settings.
func (p *Process) Reconfigure(tunables Tunables) {
	p.tunables.Store(&tunables)
	p.members.SetContacts(tunables.Seeds)
	p.setDrainTimeouts(tunables.GracePeriod)
}
