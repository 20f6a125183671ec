package routing

import (
	"sort"
	"sync/atomic"
	"time"

	"lagoongw/internal/state/replica"
)

// Defaults and limits of outlier ejection.
const (
	// DefaultSlowFactor is the default of Ejector.SlowFactor.
	DefaultSlowFactor = 3.0
	// DefaultMaxFailures is the number of consecutive failures after which an upstream is ejected.
	DefaultMaxFailures = 3
	// DefaultMaxEjected is the default of Ejector.MaxEjected.
	DefaultMaxEjected = 0.34
	// DefaultEjectionTime is the duration of the first ejection; it doubles each time, up to maxEjectionTime.
	DefaultEjectionTime = 5 * time.Second
	maxEjectionTime     = 60 * time.Second
	// minSlowLatency is the latency up to which an upstream is never considered slow.
	minSlowLatency = 50 * time.Millisecond
)

// ejectionRecord holds the end of the last ejection of an upstream and the number of its ejections.
type ejectionRecord struct {
	until time.Time
	count int
}

// Ejector temporarily excludes slow and failing upstreams from selection. Calls of Ejected never block.
type Ejector struct {
	// SlowFactor is the multiple of the median latency of the pool above which an upstream is slow.
	SlowFactor float64
	// MaxEjected is the largest share of a pool that may be ejected at the same time.
	MaxEjected float64

	// ejectedUntil is the end of each current ejection by upstream name. Each Tick replaces the map.
	ejectedUntil atomic.Pointer[map[string]time.Time]
	// history holds the current and past ejections by upstream name.
	history map[string]ejectionRecord
}

// NewEjector returns an ejector with default settings.
func NewEjector() *Ejector {
	e := &Ejector{
		SlowFactor: DefaultSlowFactor,
		MaxEjected: DefaultMaxEjected,
		history:    map[string]ejectionRecord{},
	}
	e.ejectedUntil.Store(&map[string]time.Time{})
	return e
}

// Ejected reports whether an upstream is ejected at the given time.
func (e *Ejector) Ejected(name string, now time.Time) bool {
	until, ok := (*e.ejectedUntil.Load())[name]
	return ok && now.Before(until)
}

// Tick checks the upstreams of every pool for outliers and refreshes the mean number of peer requests of each pool. It
// must not be called concurrently.
func (e *Ejector) Tick(snapshot *replica.Snapshot, now time.Time) {
	ejectedUntil := map[string]time.Time{}
	for _, pool := range snapshot.PoolNames() {
		e.tickPool(snapshot.PoolReplicas(pool), ejectedUntil, now)
		snapshot.Pool(pool).RefreshMeanPeerRequests()
	}
	for name := range e.history {
		if _, known := snapshot.Replica(name); !known {
			delete(e.history, name)
		}
	}
	e.ejectedUntil.Store(&ejectedUntil)
}

// tickPool ejects the outliers of a pool up to the limit, and adds all current ejections of the pool to ejectedUntil.
func (e *Ejector) tickPool(replicas []*replica.Replica, ejectedUntil map[string]time.Time, now time.Time) {
	limit := int(float64(len(replicas)) * e.MaxEjected)
	ejectedCount := 0
	for _, r := range replicas {
		if past := e.history[r.Name()]; now.Before(past.until) {
			ejectedUntil[r.Name()] = past.until
			ejectedCount++
		}
	}
	median := medianLatency(replicas)
	for _, r := range replicas {
		if _, ejected := ejectedUntil[r.Name()]; ejected || ejectedCount >= limit {
			continue
		}
		if !e.outlier(r, median) {
			continue
		}
		past := e.history[r.Name()]
		past.count++
		past.until = now.Add(min(DefaultEjectionTime<<min(past.count-1, 6), maxEjectionTime))
		e.history[r.Name()] = past
		ejectedUntil[r.Name()] = past.until
		// An ejected upstream gets few requests that could update its statistics. Without this, the failures counted so
		// far would eject it again as soon as the ejection ends.
		r.RecordSuccess()
		if median > 0 {
			r.RecordLatency(median)
		}
		ejectedCount++
	}
}

// outlier reports whether an upstream fails repeatedly or is much slower than the median of its pool.
func (e *Ejector) outlier(r *replica.Replica, median time.Duration) bool {
	if r.ConsecutiveFailures() >= DefaultMaxFailures {
		return true
	}
	latency := r.Latency()
	return median > 0 && latency > minSlowLatency && latency.Seconds() > median.Seconds()*e.SlowFactor
}

// medianLatency returns the median latency, or zero if fewer than three upstreams have a known latency.
func medianLatency(replicas []*replica.Replica) time.Duration {
	var latencies []time.Duration
	for _, r := range replicas {
		if latency := r.Latency(); latency > 0 {
			latencies = append(latencies, latency)
		}
	}
	if len(latencies) < 3 {
		return 0
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[len(latencies)/2]
}
