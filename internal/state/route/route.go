package route

import (
	"time"

	"lagoongw/internal/state/rendezvous"
)

// Kind defines whether a request may be repeated and whether its response is a stream.
type Kind int

// The kinds of requests: Safe requests may run more than once, Unsafe requests run at most once, and Stream requests
// are answered by a stream of events.
const (
	Safe Kind = iota
	Unsafe
	Stream
)

// String returns the name of the kind, such as "safe".
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "stream"}[k]
}

// WeightedPool is a pool and its weight in a route's traffic split.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Spec holds the settings of a Route.
type Spec struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller may wait for the response.
	Timeout time.Duration
	// TargetLatency is the latency objective for the response or, on a stream, for the first event, and TargetGap that
	// for the time between two events of a stream. Exceeding an objective reduces the benefit of the response.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// Tier is the priority tier of the traffic; 0 is the highest.
	Tier  int
	Pools []WeightedPool
	// MaxAttempts is the number of upstreams that one request may be sent to; values below 1 count as 1.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue at another upstream after the last relayed event.
	Resumable bool
}

// Route defines the pools and latency objectives of the requests below one path prefix. It is immutable.
type Route struct {
	spec        Spec
	totalWeight int
}

// New returns a route with the settings of spec.
func New(spec Spec) *Route {
	r := &Route{spec: spec}
	for _, pool := range spec.Pools {
		r.totalWeight += max(pool.Weight, 0)
	}
	return r
}

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Host returns the host name that the route matches.
func (r *Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix, which begins and ends with a slash.
func (r *Route) Prefix() string { return r.spec.Prefix }

// Kind returns the kind of requests that the route serves.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the longest time that a caller may wait for the response.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// TargetLatency returns the latency objective for the response or, on a stream, for the first event.
func (r *Route) TargetLatency() time.Duration { return r.spec.TargetLatency }

// TargetGap returns the latency objective for the time between two events of a stream.
func (r *Route) TargetGap() time.Duration { return r.spec.TargetGap }

// Tier returns the priority tier of the route's traffic; 0 is the highest.
func (r *Route) Tier() int { return r.spec.Tier }

// MaxAttempts returns the number of upstreams that one request may be sent to, at least 1.
func (r *Route) MaxAttempts() int { return max(r.spec.MaxAttempts, 1) }

// Public reports whether the route requires no API key.
func (r *Route) Public() bool { return r.spec.Public }

// Resumable reports whether the route serves streams that may continue at another upstream.
func (r *Route) Resumable() bool { return r.spec.Kind == Stream && r.spec.Resumable }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.spec.Kind == Safe || r.Resumable() }

// Pools returns the pools that the route's traffic is split between. The caller must not modify the slice.
func (r *Route) Pools() []WeightedPool { return r.spec.Pools }

// PoolFor selects the pool of a request by a hash of the request ID, so that every attempt of a request uses the same
// pool. It returns the empty string if the route has no pools.
func (r *Route) PoolFor(requestID string) string {
	if len(r.spec.Pools) == 0 {
		return ""
	}
	if len(r.spec.Pools) == 1 || r.totalWeight <= 0 {
		return r.spec.Pools[0].Pool
	}
	point := int(rendezvous.Mix(rendezvous.Hash(requestID), rendezvous.Hash(r.spec.Name)) % uint64(r.totalWeight))
	for _, pool := range r.spec.Pools {
		point -= max(pool.Weight, 0)
		if point < 0 {
			return pool.Pool
		}
	}
	return r.spec.Pools[len(r.spec.Pools)-1].Pool
}
