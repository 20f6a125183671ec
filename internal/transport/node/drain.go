package node

import (
	"time"

	"lagoongw/internal/coordination/drain"
)

const drainPollInterval = 200 * time.Millisecond

// Drain starts the graceful shutdown of the node, as soon as Run has prepared it; further calls do nothing.
func (n *Node) Drain() {
	n.startMu.Lock()
	defer n.startMu.Unlock()
	n.drainAtStart = true
	if n.prepared.Load() {
		n.drainer.Begin()
	}
}

// finishPreparing marks the node as prepared and starts a drain that was called for before.
func (n *Node) finishPreparing() {
	n.startMu.Lock()
	defer n.startMu.Unlock()
	n.prepared.Store(true)
	if n.drainAtStart {
		n.drainer.Begin()
	}
}

// Phase returns the current phase of the drain.
func (n *Node) Phase() drain.Phase { return n.drainer.Phase() }

// MarkUpstreamLeaving marks an upstream as leaving, which is passed on to the peers; sign is the evidence, for the log.
func (n *Node) MarkUpstreamLeaving(name, sign string) {
	n.upstreams.MarkLeaving(name, sign)
}
