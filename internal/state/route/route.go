package route

import (
	"time"

	"lagoongw/internal/state/rendezvous"
)

// Kind says how often a request may run and what its answer looks like.
type Kind int

// The kinds: Safe requests may be repeated, Unsafe ones run at most once, and Stream is answered by a series of events.
const (
	Safe Kind = iota
	Unsafe
	Stream
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "stream"}[k]
}

// WeightedPool is the weight of one pool in a route's traffic.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Spec is what a Route is made from.
type Spec struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time for which a caller may be kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, that earns the full benefit; Gap is the longest
	// pause between events that does.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// Tier is the rank of the traffic, 0 first.
	Tier  int
	Pools []WeightedPool
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another upstream after the last event that was relayed.
	Resumable bool
}

// Route says where the requests under one path prefix go and what they are owed; it does not change.
type Route struct {
	spec  Spec
	total int
}

// New returns a route.
func New(spec Spec) *Route {
	r := &Route{spec: spec}
	for _, share := range spec.Pools {
		r.total += max(share.Weight, 0)
	}
	return r
}

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Host returns the host name that the route belongs to.
func (r *Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix, which begins and ends with a slash.
func (r *Route) Prefix() string { return r.spec.Prefix }

// Kind returns the kind of the route's requests.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the longest time for which a caller may be kept waiting.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// TargetLatency returns the time to the answer, or to the first event, that earns the full benefit.
func (r *Route) TargetLatency() time.Duration { return r.spec.TargetLatency }

// TargetGap returns the longest pause between events that earns the full benefit.
func (r *Route) TargetGap() time.Duration { return r.spec.TargetGap }

// Tier returns the rank of the route's traffic, 0 first.
func (r *Route) Tier() int { return r.spec.Tier }

// MaxAttempts returns how many upstreams one request may be sent to, at least 1.
func (r *Route) MaxAttempts() int { return max(r.spec.MaxAttempts, 1) }

// Public reports whether the route needs no API key.
func (r *Route) Public() bool { return r.spec.Public }

// Resumable reports whether a stream may go on at another upstream.
func (r *Route) Resumable() bool { return r.spec.Kind == Stream && r.spec.Resumable }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.spec.Kind == Safe || r.Resumable() }

// Pools returns the pools that the route's traffic is split between; the caller must not change the slice.
func (r *Route) Pools() []WeightedPool { return r.spec.Pools }

// PoolFor returns the pool of a request by its ID, so that every attempt of the request goes to the same one.
func (r *Route) PoolFor(requestID string) string {
	if len(r.spec.Pools) == 0 {
		return ""
	}
	if len(r.spec.Pools) == 1 || r.total <= 0 {
		return r.spec.Pools[0].Pool
	}
	at := int(rendezvous.Mix(rendezvous.Hash(requestID), rendezvous.Hash(r.spec.Name)) % uint64(r.total))
	for _, share := range r.spec.Pools {
		at -= max(share.Weight, 0)
		if at < 0 {
			return share.Pool
		}
	}
	return r.spec.Pools[len(r.spec.Pools)-1].Pool
}
