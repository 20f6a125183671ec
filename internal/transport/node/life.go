package node

import (
	"time"

	"lagoongw/internal/coordination/drain"
)

const lifeTick = 200 * time.Millisecond

// Drain begins to take the node out of service; the first call counts.
func (n *Node) Drain() { n.drainer.Begin() }

// Phase returns how far the node has left service.
func (n *Node) Phase() drain.Phase { return n.drainer.Phase() }

// MarkUpstreamLeaving notes a sign that an upstream leaves, which the peers are told.
func (n *Node) MarkUpstreamLeaving(name, sign string) {
	n.upstreams.MarkLeaving(name, sign)
}
