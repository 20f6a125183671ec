package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lagoongw/internal/state/replica"
)

// view holds the states of the upstreams of a pool, in hash order, for one snapshot of the table.
type view struct {
	snapshot *replica.Snapshot
	states   []*upstreamState
}

// view returns the view of a pool for the current snapshot; the lock must be held.
func (d *Dispatcher) view(pool string) *view {
	snapshot := d.Table.Load()
	if cached := d.views[pool]; cached != nil && cached.snapshot == snapshot {
		return cached
	}
	v := &view{snapshot: snapshot}
	for _, r := range snapshot.PoolReplicas(pool) {
		v.states = append(v.states, d.state(r))
	}
	slices.SortFunc(v.states, func(a, b *upstreamState) int { return cmp.Compare(a.replica.Hash(), b.replica.Hash()) })
	for i, s := range v.states {
		s.hashRank = i
		s.view = v
	}
	if d.views == nil {
		d.views = map[string]*view{}
	}
	d.views[pool] = v
	return v
}

// split returns the split of a pool, creating it if needed; the lock must be held.
func (d *Dispatcher) split(pool string) *split {
	if d.splits == nil {
		d.splits = map[string]*split{}
	}
	if d.splits[pool] == nil {
		d.splits[pool] = &split{}
	}
	return d.splits[pool]
}

// interactiveEngines returns how many engines of a pool are reserved for interactive requests, and resizes the split
// if it is due; the lock must be held.
func (d *Dispatcher) interactiveEngines(pool string, engines int, scale float64, now time.Time) int {
	s := d.splits[pool]
	if s == nil {
		return 0
	}
	if now.Sub(s.checkedAt) >= splitInterval {
		s.checkedAt = now
		before := s.interactiveEngines
		s.resize(d.splitDemand(pool, scale, now), engines, d.bulkWait(pool, s.interactiveEngines, scale, now))
		if s.interactiveEngines != before && d.OnSplitChange != nil {
			d.OnSplitChange(pool, s.interactiveEngines, engines)
		}
	}
	return min(s.interactiveEngines, max(engines-1, 0))
}

// bulkWait returns how long prompts wait on average at the engines of a pool that are not reserved for interactive
// requests; the lock must be held.
func (d *Dispatcher) bulkWait(pool string, reserved int, scale float64, now time.Time) time.Duration {
	tokens, engines := 0, 0
	for _, s := range d.view(pool).states {
		if s.hashRank >= reserved && !s.replica.Leaving() {
			tokens += s.forecast.backlog(lastTier, now) + int(scale*float64(s.peerLoad.Waiting))
			engines++
		}
	}
	return d.pace(pool).profile.Prefill(tokens) / time.Duration(max(engines, 1))
}
