package replica

import (
	"math"
	"sort"
	"sync/atomic"

	"lagoongw/internal/protocol/wire"
)

// Pool is the upstreams of one pool; it does not change, but for the mean of their load.
type Pool struct {
	all    []*Replica
	byZone map[string][]*Replica
	others atomic.Uint64
}

// All returns the upstreams by name; the caller must not change the slice.
func (g *Pool) All() []*Replica { return g.all }

// InZone returns the upstreams of an availability zone; the caller must not change the slice.
func (g *Pool) InZone(zone string) []*Replica { return g.byZone[zone] }

// MeanPeerRequests returns the requests of other nodes at an upstream, as a mean over the pool at the last RefreshMean.
func (g *Pool) MeanPeerRequests() float64 {
	return math.Float64frombits(g.others.Load())
}

// RefreshMeanPeerRequests computes the mean anew from the reports.
func (g *Pool) RefreshMeanPeerRequests() {
	sum, count := 0.0, 0.0
	for _, r := range g.all {
		if load := r.Load(); load != nil {
			sum += load.PeerRequests()
			count++
		}
	}
	if count > 0 {
		g.others.Store(math.Float64bits(sum / count))
	}
}

// Snapshot is an immutable list of the upstreams by pool.
type Snapshot struct {
	byName map[string]*Replica
	byPool map[string]*Pool
	pools  []string
}

// PoolReplicas returns the upstreams of a pool by name; the caller must not change the slice.
func (s *Snapshot) PoolReplicas(name string) []*Replica {
	if group := s.byPool[name]; group != nil {
		return group.all
	}
	return nil
}

// Pool returns a pool, nil for an unknown one.
func (s *Snapshot) Pool(name string) *Pool { return s.byPool[name] }

// PoolNames returns the names of the pools in their order.
func (s *Snapshot) PoolNames() []string { return s.pools }

// Replica returns the upstream of that name.
func (s *Snapshot) Replica(name string) (*Replica, bool) {
	r, ok := s.byName[name]
	return r, ok
}

// Len returns the number of upstreams.
func (s *Snapshot) Len() int { return len(s.byName) }

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
		byPool: map[string]*Pool{},
	}
	for _, machine := range machines {
		if machine.Kind != KindEngine && machine.Kind != KindService {
			continue
		}
		r, known := before.byName[machine.Name]
		if !known || r.Address() != machine.Address || r.Boot() != machine.Boot {
			r = New(machine)
		}
		if machine.State == StateLeaving {
			r.MarkLeaving()
		}
		next.add(machine, r)
	}
	for pool, group := range next.byPool {
		sort.Slice(group.all, func(i, j int) bool { return group.all[i].Name() < group.all[j].Name() })
		for _, r := range group.all {
			zone := r.AvailabilityZone()
			group.byZone[zone] = append(group.byZone[zone], r)
		}
		group.RefreshMeanPeerRequests()
		next.pools = append(next.pools, pool)
	}
	sort.Strings(next.pools)
	t.current.Store(next)
}

func (s *Snapshot) add(machine wire.Machine, r *Replica) {
	s.byName[machine.Name] = r
	group := s.byPool[machine.Pool]
	if group == nil {
		group = &Pool{byZone: map[string][]*Replica{}}
		s.byPool[machine.Pool] = group
	}
	group.all = append(group.all, r)
}
