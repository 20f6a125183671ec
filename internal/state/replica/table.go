package replica

import (
	"sort"
	"sync/atomic"

	"lagoongw/internal/protocol/wire"
)

// Snapshot is an immutable list of the upstreams by pool.
type Snapshot struct {
	byName map[string]*Replica
	byPool map[string][]*Replica
	pools  []string
}

// Pool returns the upstreams of a pool by name; the caller must not change the slice.
func (s *Snapshot) Pool(name string) []*Replica { return s.byPool[name] }

// Pools returns the names of the pools in their order.
func (s *Snapshot) Pools() []string { return s.pools }

// Replica returns the upstream of that name.
func (s *Snapshot) Replica(name string) (*Replica, bool) {
	r, ok := s.byName[name]
	return r, ok
}

// All returns the number of upstreams.
func (s *Snapshot) All() int { return len(s.byName) }

// Table publishes snapshots; readers never wait for the writer.
type Table struct {
	current atomic.Pointer[Snapshot]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.current.Store(&Snapshot{})
	return t
}

// Load returns the current snapshot.
func (t *Table) Load() *Snapshot { return t.current.Load() }

// Update installs the platform's list; replicas that stay keep their counters. Only one goroutine may call it.
func (t *Table) Update(machines []wire.Machine) {
	before := t.current.Load()
	next := &Snapshot{
		byName: map[string]*Replica{},
		byPool: map[string][]*Replica{},
	}
	for _, machine := range machines {
		if machine.Kind != KindEngine && machine.Kind != KindService {
			continue
		}
		r, known := before.byName[machine.Name]
		if !known || r.Address() != machine.Address {
			r = New(machine)
		}
		if machine.State == StateLeaving {
			r.MarkLeaving()
		}
		next.byName[machine.Name] = r
		next.byPool[machine.Pool] = append(next.byPool[machine.Pool], r)
	}
	for pool, replicas := range next.byPool {
		sort.Slice(replicas, func(i, j int) bool { return replicas[i].Name() < replicas[j].Name() })
		next.pools = append(next.pools, pool)
	}
	sort.Strings(next.pools)
	t.current.Store(next)
}
