package dispatch

import (
	"math"
	"time"
)

// PoolDemand is what the requests of all nodes ask of a pool.
type PoolDemand struct {
	// Engines is how many engines the requests need, and EnginesLag the mean age of the requests that it counts.
	Engines    EngineDemand
	EnginesLag time.Duration
	// Requests is the number of requests at the pool's upstreams, and Tokens that of their prompt tokens. They are known only
	// for pools with scaling.
	Requests float64
	Tokens   float64
	// RefusedShare is the share of the recent requests that no upstream could be chosen for. They are not part of the other
	// figures. It is known only for pools with scaling.
	RefusedShare float64
	// Backlog is the time that one engine would need to prefill all prompts that wait.
	Backlog time.Duration
	// KnownShare is the share of the live nodes whose digests are known. The figures are extrapolated to the others, by
	// maxExtrapolation at most.
	KnownShare float64
	// Age is the age of the oldest digest that was used.
	Age time.Duration
	// Down lists the upstreams that more than half of the nodes leave alone after failures.
	Down map[string]bool
}

// maxExtrapolation is the largest factor by which the known demand is extrapolated to the nodes that it is not known of.
// The digests of a few nodes say little about hundreds.
const maxExtrapolation = 3

// PoolDemand returns the demand of all nodes in a pool, whether this node receives the digests of the others or a relay's
// sum of them.
func (d *Dispatcher) PoolDemand(pool string, now time.Time) PoolDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	scale := min(d.expirePeers(now), maxExtrapolation)
	demand := PoolDemand{
		Engines:    d.totalDemand(pool, scale, now),
		EnginesLag: time.Duration(demandHalfLife.Seconds() / math.Ln2 * float64(time.Second)),
		Down:       map[string]bool{},
	}
	covered, others := 1, PoolRequests{}
	for _, peer := range d.peers {
		covered += peer.nodes()
		others = others.plus(peer.PoolRequests[pool], 1)
		demand.Age = max(demand.Age, now.Sub(peer.receivedAt))
	}
	demand.KnownShare = min(float64(covered)/float64(max(d.Nodes(), 1)), 1)
	own := d.poolRequests(pool, now)
	demand.Requests = float64(own.Requests) + scale*float64(others.Requests)
	if refused := own.Refused + scale*others.Refused; refused > 0 {
		demand.RefusedShare = refused / (refused + own.Sent + scale*others.Sent)
	}
	demand.Tokens = float64(own.Tokens) + scale*float64(others.Tokens)
	waiting := 0.0
	for _, s := range d.view(pool).states {
		waiting += float64(s.forecast.backlog(lastTier, now)) + scale*float64(s.peerLoad.Waiting)
		down := s.peerLoad.Down
		if s.health.backedOff(now) && !s.health.fromHere || s.health.paused(now) {
			down++
		}
		if 2*down > covered {
			demand.Down[s.replica.Name()] = true
		}
	}
	demand.Backlog = d.updatedPace(pool, now).profile.Prefill(int(waiting))
	return demand
}

// PoolRequests is what nodes tell of the requests to a pool.
type PoolRequests struct {
	// Requests is the number of requests at the upstreams, Tokens that of their prompt tokens.
	Requests int
	Tokens   int
	// Sent and Refused are decaying sums of the requests that were sent to an upstream, and of those that none could be sent to.
	Sent    float64
	Refused float64
}

// plus returns the sum of the requests and sign times others, at least zero.
func (r PoolRequests) plus(other PoolRequests, sign int) PoolRequests {
	return PoolRequests{
		Requests: max(r.Requests+sign*other.Requests, 0),
		Tokens:   max(r.Tokens+sign*other.Tokens, 0),
		Sent:     max(r.Sent+float64(sign)*other.Sent, 0),
		Refused:  max(r.Refused+float64(sign)*other.Refused, 0),
	}
}

// refusalHalfLife is the half-life of the sums of requests sent and refused.
const refusalHalfLife = 3 * time.Second

// offered holds decaying sums of the requests that were sent and refused.
type offered struct {
	sent      float64
	refused   float64
	decayedAt time.Time
}

func (o *offered) decay(now time.Time) {
	if !o.decayedAt.IsZero() {
		factor := math.Exp2(-now.Sub(o.decayedAt).Seconds() / refusalHalfLife.Seconds())
		o.sent *= factor
		o.refused *= factor
	}
	o.decayedAt = now
}

// offeredTo returns the sums of a pool, decayed to the current time; the lock must be held.
func (d *Dispatcher) offeredTo(pool string, now time.Time) *offered {
	if d.offered == nil {
		d.offered = map[string]*offered{}
	}
	if d.offered[pool] == nil {
		d.offered[pool] = &offered{}
	}
	d.offered[pool].decay(now)
	return d.offered[pool]
}

// countRefusal counts a request that no upstream can be chosen for, unless more upstreams would not help it: its stream is
// bound to a version, or it has failed at others before. The lock must be held.
func (d *Dispatcher) countRefusal(request Request, now time.Time) {
	if d.CountRequests && !request.Bound && len(request.Exclude) == 0 {
		d.offeredTo(request.Pool, now).refused++
	}
}

// poolRequests returns this node's requests to a pool; the lock must be held.
func (d *Dispatcher) poolRequests(pool string, now time.Time) PoolRequests {
	var sum PoolRequests
	for _, s := range d.view(pool).states {
		sum.Requests += s.forecast.inFlight
		sum.Tokens += s.forecast.tokens
	}
	if known := d.offered[pool]; known != nil {
		known.decay(now)
		sum.Sent, sum.Refused = known.sent, known.refused
	}
	return sum
}

// scaledRequests returns this node's requests in each pool that has scaling; the lock must be held.
func (d *Dispatcher) scaledRequests(now time.Time) map[string]PoolRequests {
	requests := map[string]PoolRequests{}
	if !d.CountRequests {
		return requests
	}
	for _, pool := range d.Table.Load().PoolNames() {
		settings, known := d.Pool(pool)
		if !known || settings.Scaling == nil {
			continue
		}
		if own := d.poolRequests(pool, now); own != (PoolRequests{}) {
			requests[pool] = own
		}
	}
	return requests
}
