package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/drain"
)

// announceTimeout is the timeout of Announce. A peer that it does not reach finds out by its probes that this node is
// leaving.
const announceTimeout = time.Second

// Drainer drives a drain state machine; its exported fields must be set before Begin and Run.
type Drainer struct {
	// PollInterval is the time between two checks of the number of requests in flight.
	PollInterval time.Duration
	// InFlight returns the number of requests that are being served.
	InFlight func() int
	// Announce tells the peers that this node is leaving; its context ends after announceTimeout.
	Announce func(ctx context.Context)
	// Logger receives a line when the drain starts and one for each change of the phase.
	Logger zerolog.Logger

	mu      sync.Mutex
	machine drain.StateMachine
}

// SetTimeouts sets two times from the start of the drain: from refuseAfter on, new requests are refused that may not end
// before timeout, after which the drain finishes with requests still in flight. A timeout of 0 means never; all new requests
// are refused then.
func (d *Drainer) SetTimeouts(refuseAfter, timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.RefuseAfter = refuseAfter
	d.machine.Timeout = timeout
}

// Begin starts the drain; further calls do nothing.
func (d *Drainer) Begin() {
	d.mu.Lock()
	alreadyBegun := d.machine.Phase() != drain.Serving
	d.machine.Begin(time.Now())
	d.mu.Unlock()
	if alreadyBegun {
		return
	}
	d.Logger.Info().Int("in-flight", d.InFlight()).Msg("drain started: leaving the list of entry VMs")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		d.Announce(ctx)
	}()
}

// Phase returns the current phase of the drain.
func (d *Drainer) Phase() drain.Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Phase()
}

// Accepts reports whether the node accepts a request now whose answer is due by a deadline.
func (d *Drainer) Accepts(deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Accepts(time.Now(), deadline)
}

// Run advances the drain, once started, until it has finished or the context ends.
func (d *Drainer) Run(ctx context.Context) {
	ticker := time.NewTicker(d.PollInterval)
	defer ticker.Stop()
	previous := drain.Serving
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.mu.Lock()
			phase := d.machine.Tick(now, d.InFlight())
			d.mu.Unlock()
			if phase != previous {
				d.Logger.Info().Str("phase", phase.String()).Int("in-flight", d.InFlight()).Msg("drain phase changed")
				previous = phase
			}
			if phase == drain.Finished {
				return
			}
		}
	}
}
