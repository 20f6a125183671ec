package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/drain"
)

// announceTimeout bounds the telling of the peers; those that miss it find out by their probes.
const announceTimeout = time.Second

// Drainer drives a drain machine; its exported fields are set before Begin and Run.
type Drainer struct {
	// PollInterval is the time between two looks at what is in flight.
	PollInterval time.Duration
	// InFlight returns the number of requests that are being served.
	InFlight func() int
	// Announce tells the peers that this node leaves.
	Announce func(ctx context.Context)
	// Logger takes one line for each phase.
	Logger zerolog.Logger

	mu      sync.Mutex
	machine drain.StateMachine
}

// SetTimeouts changes how long a leaving node goes on serving, and after which time it ends with requests still in
// flight, zero for never.
func (d *Drainer) SetTimeouts(linger, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.RefuseAfter = linger
	d.machine.Timeout = limit
}

// Begin begins to take the node out of service; the first call counts.
func (d *Drainer) Begin() {
	d.mu.Lock()
	begun := d.machine.Phase() != drain.Serving
	d.machine.Begin(time.Now())
	d.mu.Unlock()
	if begun {
		return
	}
	d.Logger.Info().Int("in-flight", d.InFlight()).Msg("draining: leaving the entry answers")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		d.Announce(ctx)
	}()
}

// Phase returns how far the node has left service.
func (d *Drainer) Phase() drain.Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Phase()
}

// Run waits until a drain has finished or the context ends.
func (d *Drainer) Run(ctx context.Context) {
	ticker := time.NewTicker(d.PollInterval)
	defer ticker.Stop()
	before := drain.Serving
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.mu.Lock()
			phase := d.machine.Tick(now, d.InFlight())
			d.mu.Unlock()
			if phase != before {
				d.Logger.Info().Str("phase", phase.String()).Int("in-flight", d.InFlight()).Msg("drain advanced")
				before = phase
			}
			if phase == drain.Finished {
				return
			}
		}
	}
}
