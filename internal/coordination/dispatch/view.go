package dispatch

import (
	"cmp"
	"slices"
	"time"

	"lagoongw/internal/state/replica"
)

// view is the upstreams of a pool beside what is known of them, for one snapshot of the table.
type view struct {
	snapshot *replica.Snapshot
	states   []*state
}

// view returns the upstreams of a pool; the lock must be held.
func (d *Dispatcher) view(pool string) *view {
	snapshot := d.Table.Load()
	if known := d.views[pool]; known != nil && known.snapshot == snapshot {
		return known
	}
	v := &view{snapshot: snapshot}
	for _, r := range snapshot.PoolReplicas(pool) {
		v.states = append(v.states, d.state(r))
	}
	slices.SortFunc(v.states, func(a, b *state) int { return cmp.Compare(a.replica.Hash(), b.replica.Hash()) })
	for i, s := range v.states {
		s.order = i
		s.view = v
	}
	if d.views == nil {
		d.views = map[string]*view{}
	}
	d.views[pool] = v
	return v
}

// split returns how a pool is divided; the lock must be held.
func (d *Dispatcher) split(pool string) *split {
	if d.splits == nil {
		d.splits = map[string]*split{}
	}
	if d.splits[pool] == nil {
		d.splits[pool] = &split{}
	}
	return d.splits[pool]
}

// interactiveEngines returns how many engines of a pool are for interactive requests; the lock must be held.
func (d *Dispatcher) interactiveEngines(pool string, engines int, scale float64, now time.Time) int {
	s := d.splits[pool]
	if s == nil {
		return 0
	}
	if now.Sub(s.checked) >= splitEvery {
		s.checked = now
		before := s.engines
		s.divide(d.need(pool, scale, now), engines)
		if s.engines != before && d.OnSplitChange != nil {
			d.OnSplitChange(pool, s.engines, engines)
		}
	}
	return min(s.engines, max(engines-1, 0))
}
