package replica

import (
	"math"
	"sort"
	"sync/atomic"

	"lagoongw/internal/protocol/wire"
)

// Pool holds the upstreams of one pool. It is immutable except for the mean number of peer requests.
type Pool struct {
	all    []*Replica
	byZone map[string][]*Replica
	// meanPeerRequests holds the bits of a float64.
	meanPeerRequests atomic.Uint64
}

// All returns the upstreams sorted by name. The caller must not modify the slice.
func (p *Pool) All() []*Replica { return p.all }

// InZone returns the upstreams of an availability zone, sorted by name. The caller must not modify the slice.
func (p *Pool) InZone(zone string) []*Replica { return p.byZone[zone] }

// MeanPeerRequests returns the mean number of requests from other nodes at an upstream of the pool, as of the last
// RefreshMeanPeerRequests.
func (p *Pool) MeanPeerRequests() float64 {
	return math.Float64frombits(p.meanPeerRequests.Load())
}

// RefreshMeanPeerRequests recomputes MeanPeerRequests from the latest load reports.
func (p *Pool) RefreshMeanPeerRequests() {
	sum, count := 0.0, 0.0
	for _, r := range p.all {
		if load := r.Load(); load != nil {
			sum += load.PeerRequests()
			count++
		}
	}
	if count > 0 {
		p.meanPeerRequests.Store(math.Float64bits(sum / count))
	}
}

// Snapshot is an immutable set of upstreams, grouped by pool; the counters of its replicas still change.
type Snapshot struct {
	byName    map[string]*Replica
	byPool    map[string]*Pool
	poolNames []string
}

// PoolReplicas returns the upstreams of a pool sorted by name, nil for an unknown pool. The caller must not modify the
// slice.
func (s *Snapshot) PoolReplicas(name string) []*Replica {
	if pool := s.byPool[name]; pool != nil {
		return pool.all
	}
	return nil
}

// Pool returns a pool, nil for an unknown one.
func (s *Snapshot) Pool(name string) *Pool { return s.byPool[name] }

// PoolNames returns the sorted names of the pools. The caller must not modify the slice.
func (s *Snapshot) PoolNames() []string { return s.poolNames }

// Replica returns the upstream with the given name, if there is one.
func (s *Snapshot) Replica(name string) (*Replica, bool) {
	r, ok := s.byName[name]
	return r, ok
}

// Len returns the number of upstreams.
func (s *Snapshot) Len() int { return len(s.byName) }

// Table publishes snapshots atomically, so that readers never wait for the writer.
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

// Update publishes a snapshot of the engines and services among the machines. An upstream of which nothing changed but
// its state and its slots keeps its replica and thus its counters. Only one goroutine may call Update.
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
		if !known || !r.sameUpstream(machine) {
			r = New(machine)
		}
		r.slots.Store(int64(machine.Slots))
		r.notice.Store(int64(machine.LeavesMs))
		if machine.State == StateLeaving {
			r.MarkLeaving()
		}
		next.add(machine, r)
	}
	for name, pool := range next.byPool {
		sort.Slice(pool.all, func(i, j int) bool { return pool.all[i].Name() < pool.all[j].Name() })
		for _, r := range pool.all {
			zone := r.AvailabilityZone()
			pool.byZone[zone] = append(pool.byZone[zone], r)
		}
		pool.RefreshMeanPeerRequests()
		next.poolNames = append(next.poolNames, name)
	}
	sort.Strings(next.poolNames)
	t.current.Store(next)
}

func (s *Snapshot) add(machine wire.Machine, r *Replica) {
	s.byName[machine.Name] = r
	pool := s.byPool[machine.Pool]
	if pool == nil {
		pool = &Pool{byZone: map[string][]*Replica{}}
		s.byPool[machine.Pool] = pool
	}
	pool.all = append(pool.all, r)
}
