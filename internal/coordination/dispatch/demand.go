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
	own := d.poolRequests(pool)
	demand.Requests = float64(own.Requests) + scale*float64(others.Requests)
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

// PoolRequests is the number of requests at the upstreams of a pool, and of their prompt tokens.
type PoolRequests struct {
	Requests int
	Tokens   int
}

// plus returns the sum of the requests and sign times others, at least zero.
func (r PoolRequests) plus(other PoolRequests, sign int) PoolRequests {
	return PoolRequests{
		Requests: max(r.Requests+sign*other.Requests, 0),
		Tokens:   max(r.Tokens+sign*other.Tokens, 0),
	}
}

// poolRequests returns this node's requests at the upstreams of a pool; the lock must be held.
func (d *Dispatcher) poolRequests(pool string) PoolRequests {
	var sum PoolRequests
	for _, s := range d.view(pool).states {
		sum.Requests += s.forecast.inFlight
		sum.Tokens += s.forecast.tokens
	}
	return sum
}

// scaledRequests returns this node's requests in each pool that has scaling; the lock must be held.
func (d *Dispatcher) scaledRequests() map[string]PoolRequests {
	requests := map[string]PoolRequests{}
	if !d.CountRequests {
		return requests
	}
	for _, pool := range d.Table.Load().PoolNames() {
		settings, known := d.Pool(pool)
		if !known || settings.Scaling == nil {
			continue
		}
		if own := d.poolRequests(pool); own != (PoolRequests{}) {
			requests[pool] = own
		}
	}
	return requests
}
