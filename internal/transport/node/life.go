package node

import (
	"context"
	"time"

	"lagoongw/internal/coordination/drain"
)

const lifeTick = 200 * time.Millisecond

// Drain begins to take the node out of service; the first call counts.
func (n *Node) Drain() {
	n.drainMu.Lock()
	begun := n.drain.Phase() != drain.Serving
	n.drain.Begin(time.Now())
	n.drainMu.Unlock()
	if begun {
		return
	}
	n.Logger.Info().Msg("draining: leaving the entry answers")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		n.members.Leave(ctx)
	}()
}

// Phase returns how far the node has left service.
func (n *Node) Phase() drain.Phase {
	n.drainMu.Lock()
	defer n.drainMu.Unlock()
	return n.drain.Phase()
}

// live waits until a drain has finished or the context ends.
func (n *Node) live(ctx context.Context) {
	ticker := time.NewTicker(lifeTick)
	defer ticker.Stop()
	before := drain.Serving
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.drainMu.Lock()
			phase := n.drain.Tick(now, n.caller.InFlight())
			n.drainMu.Unlock()
			if phase != before {
				n.Logger.Info().Str("phase", phase.String()).Int("in-flight", n.caller.InFlight()).Msg("drain advanced")
				before = phase
			}
			if phase == drain.Finished {
				return
			}
		}
	}
}

// MarkLeaving notes a sign that an upstream leaves, which the peers are told.
func (n *Node) MarkLeaving(name, sign string) {
	n.upstreams.MarkLeaving(name, sign)
}
