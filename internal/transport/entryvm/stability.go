package entryvm

import (
	"maps"
	"sync"
	"time"

	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/protocol/wire"
)

// stability tells for how long the same nodes have been live.
type stability struct {
	mu sync.Mutex
	// incarnations holds the live nodes with their incarnations, and changedAt is when they last changed, zero while a node
	// that has not left is not live.
	incarnations map[string]int
	changedAt    time.Time
}

// observe notes the state of all known nodes.
func (s *stability) observe(members []wire.Member, now time.Time) {
	live := make(map[string]int, len(members))
	allLive := true
	for _, row := range members {
		switch membership.State(row.State) {
		case membership.Alive:
			live[row.Name] = row.Incarnation
		case membership.Left:
		default:
			allLive = false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !allLive:
		s.changedAt = time.Time{}
	case s.changedAt.IsZero() || !maps.Equal(live, s.incarnations):
		s.changedAt = now
	}
	s.incarnations = live
}

// since returns for how long the same nodes have been live, 0 while a node that has not left is not.
func (s *stability) since() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changedAt.IsZero() {
		return 0
	}
	return max(time.Since(s.changedAt), 1)
}
