package routing

import (
	"sort"
	"sync/atomic"
	"time"

	"lagoongw/internal/state/replica"
)

// Defaults of the ejector's settings.
const (
	DefaultSlowFactor   = 3.0
	DefaultMaxFailures  = 3
	DefaultMaxEjected   = 0.34
	DefaultEjectionTime = 5 * time.Second
	maxEjection         = 60 * time.Second
	minSlow             = 50 * time.Millisecond
)

type ejection struct {
	until time.Time
	times int
}

// Ejector takes slow and failing upstreams out of the choice for a while; reads never wait.
type Ejector struct {
	// SlowFactor is how many times the pool's median latency makes an upstream slow.
	SlowFactor float64
	// MaxEjected is the largest share of a pool that may be out at once.
	MaxEjected float64

	view    atomic.Pointer[map[string]time.Time]
	history map[string]ejection
}

// NewEjector returns an ejector with default settings.
func NewEjector() *Ejector {
	e := &Ejector{
		SlowFactor: DefaultSlowFactor,
		MaxEjected: DefaultMaxEjected,
		history:    map[string]ejection{},
	}
	e.view.Store(&map[string]time.Time{})
	return e
}

// Ejected reports whether an upstream is out of the choice now.
func (e *Ejector) Ejected(name string, now time.Time) bool {
	until, ok := (*e.view.Load())[name]
	return ok && now.Before(until)
}

// Tick judges the upstreams of every pool and refreshes the means of their load; only one goroutine may call it.
func (e *Ejector) Tick(snapshot *replica.Snapshot, now time.Time) {
	view := map[string]time.Time{}
	for _, pool := range snapshot.PoolNames() {
		e.tickPool(snapshot.PoolReplicas(pool), view, now)
		snapshot.Pool(pool).RefreshMeanPeerRequests()
	}
	for name := range e.history {
		if _, known := snapshot.Replica(name); !known {
			delete(e.history, name)
		}
	}
	e.view.Store(&view)
}

func (e *Ejector) tickPool(replicas []*replica.Replica, view map[string]time.Time, now time.Time) {
	limit := int(float64(len(replicas)) * e.MaxEjected)
	out := 0
	for _, r := range replicas {
		if past := e.history[r.Name()]; now.Before(past.until) {
			view[r.Name()] = past.until
			out++
		}
	}
	median := medianLatency(replicas)
	for _, r := range replicas {
		if _, ejected := view[r.Name()]; ejected || out >= limit {
			continue
		}
		if !e.bad(r, median) {
			continue
		}
		past := e.history[r.Name()]
		past.times++
		past.until = now.Add(min(DefaultEjectionTime<<min(past.times-1, 6), maxEjection))
		e.history[r.Name()] = past
		view[r.Name()] = past.until
		r.RecordSuccess()
		r.RecordLatency(median)
		out++
	}
}

func (e *Ejector) bad(r *replica.Replica, median time.Duration) bool {
	if r.ConsecutiveFailures() >= DefaultMaxFailures {
		return true
	}
	latency := r.Latency()
	return median > 0 && latency > minSlow && latency.Seconds() > median.Seconds()*e.SlowFactor
}

func medianLatency(replicas []*replica.Replica) time.Duration {
	var known []time.Duration
	for _, r := range replicas {
		if latency := r.Latency(); latency > 0 {
			known = append(known, latency)
		}
	}
	if len(known) < 3 {
		return 0
	}
	sort.Slice(known, func(i, j int) bool { return known[i] < known[j] })
	return known[len(known)/2]
}
