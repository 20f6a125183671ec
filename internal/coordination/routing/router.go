package routing

import (
	"math"
	"time"

	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
)

// Defaults and limits of the router.
const (
	// DefaultReportDecay is the default of Router.ReportDecay.
	DefaultReportDecay = 2 * time.Second
	// DefaultColdPrefixCost is the default of Router.ColdPrefixCost.
	DefaultColdPrefixCost = 150 * time.Millisecond
	// DefaultSameRegionDelay is the delay to an upstream in another availability zone of the same region.
	DefaultSameRegionDelay = time.Millisecond
	// DefaultOtherRegionDelay is the delay to an upstream in another region.
	DefaultOtherRegionDelay = 62 * time.Millisecond
	// DefaultServiceTime is the assumed latency of an upstream before the first observation.
	DefaultServiceTime = 400 * time.Millisecond
	// maxFullComparison is the size of the largest pool of which all upstreams are compared.
	maxFullComparison = 16
	// zoneSamples is the number of upstreams of this node's availability zone that are compared in a larger pool.
	zoneSamples = 3
	// reportWeight is the weight of a new load report against the mean of the pool. A weight below 1 keeps nodes that
	// follow the same late reports from oscillating between upstreams.
	reportWeight = 0.2
)

// Request holds the properties of a request that the choice of an upstream depends on.
type Request struct {
	Pool string
	// Model is the model that the upstream has to serve, empty for any.
	Model string
	// Prefix identifies the prompt prefix, empty for none.
	Prefix string
	// Tier is the priority tier; 0 is the highest priority.
	Tier int
	// Bytes is the length of the request body.
	Bytes int
	// Exclude lists the names of upstreams that must not be chosen.
	Exclude []string
	// Bound reports whether the request goes on with a stream that began at Version of an upstream's software; only upstreams
	// of that version are chosen then. All have the same one, which is empty, if the list of VMs doesn't state it.
	Bound   bool
	Version string
	// Prefer is the name of the upstream where another request was preempted for this one, empty for none.
	Prefer string
}

// Choice is the chosen upstream, or a nil Replica and the Reason why no upstream can be chosen.
type Choice struct {
	Replica *replica.Replica
	// Candidates is the number of upstreams that were compared.
	Candidates int
	// Cost is the estimated time to the first token.
	Cost time.Duration
	// Warm reports whether the upstream has the prompt prefix in the cache.
	Warm   bool
	Reason string
}

// Router chooses upstreams. It is safe for concurrent use once its fields are set.
type Router struct {
	// AvailabilityZone and Region are the location of this node.
	AvailabilityZone string
	Region           string
	// Table holds the upstreams.
	Table *replica.Table
	// Ejector excludes slow and failing upstreams.
	Ejector *Ejector
	// LinkBudget limits the bytes sent between regions; nil means no limit.
	LinkBudget *LinkBudget
	// ReportDecay is the time constant of the exponential decay of a load report's weight.
	ReportDecay time.Duration
	// ColdPrefixCost is the cost of a prompt prefix that is not in the cache of the engine.
	ColdPrefixCost time.Duration
}

// Choose returns the upstream for a request. Ejected upstreams are chosen only if no other is usable. The values of
// random must be uniformly distributed.
func (r *Router) Choose(request Request, random uint64, now time.Time) Choice {
	snapshot := r.Table.Load()
	pool := snapshot.Pool(request.Pool)
	if pool == nil {
		return Choice{Reason: "no upstream in the pool"}
	}
	if preferred, ok := snapshot.Replica(request.Prefer); ok && r.usable(preferred, request, now, false) {
		return Choice{
			Replica:    preferred,
			Candidates: 1,
			Reason:     "a lower-priority request is preempted here",
		}
	}
	choice := r.choose(pool, request, random, now, false)
	if choice.Replica == nil {
		choice = r.choose(pool, request, random, now, true)
	}
	return choice
}

// choose compares a sample of the pool and the upstream that the prefix is assigned to.
func (r *Router) choose(
	pool *replica.Pool, request Request, random uint64, now time.Time, includeEjected bool,
) Choice {
	best := Choice{Cost: math.MaxInt64}
	meanPeerRequests := pool.MeanPeerRequests()
	local, anywhere := r.sampleSizes(pool)
	best = r.sample(best, pool.InZone(r.AvailabilityZone), local, request, meanPeerRequests, random, now, includeEjected)
	best = r.sample(best, pool.All(), best.Candidates+anywhere, request, meanPeerRequests, random, now, includeEjected)
	if assigned := r.prefixUpstream(pool, request, now, includeEjected); assigned != nil {
		best = r.better(best, assigned, request, meanPeerRequests, now)
	}
	if best.Replica == nil {
		return Choice{Reason: "no usable upstream in the pool"}
	}
	best.Reason = "lowest cost"
	if best.Warm {
		best.Reason = "lowest cost with a warm prefix"
	}
	return best
}

// sampleSizes returns how many upstreams to compare: all upstreams of a small pool, and of a large pool a few local
// ones, in the availability zone of this node, and one anywhere.
func (r *Router) sampleSizes(pool *replica.Pool) (local, anywhere int) {
	size := len(pool.All())
	if size <= maxFullComparison {
		return 0, size
	}
	return zoneSamples, 1
}

// sample compares usable upstreams of a list, starting at a random index, until limit candidates have been compared.
func (r *Router) sample(
	best Choice, list []*replica.Replica, limit int, request Request, meanPeerRequests float64, random uint64,
	now time.Time, includeEjected bool,
) Choice {
	for i := range list {
		if best.Candidates >= limit {
			break
		}
		candidate := list[(int(random%uint64(len(list)))+i)%len(list)]
		if r.usable(candidate, request, now, includeEjected) {
			best = r.better(best, candidate, request, meanPeerRequests, now)
		}
	}
	return best
}

// better returns the cheaper of the best choice so far and a candidate, and counts the candidate.
func (r *Router) better(
	best Choice, candidate *replica.Replica, request Request, meanPeerRequests float64, now time.Time,
) Choice {
	if candidate == best.Replica {
		return best
	}
	warm := candidate.HasCachedPrefix(request.Prefix, now)
	cost := r.cost(candidate, request, meanPeerRequests, warm, now)
	best.Candidates++
	if best.Replica == nil || cost < best.Cost {
		best.Replica = candidate
		best.Cost = cost
		best.Warm = warm
	}
	return best
}

// usable reports whether a request may be sent to an upstream.
func (r *Router) usable(candidate *replica.Replica, request Request, now time.Time, includeEjected bool) bool {
	if candidate.Leaving() || !candidate.Serves(request.Model) || request.Bound && candidate.Version() != request.Version {
		return false
	}
	if !includeEjected && r.Ejector.Ejected(candidate.Name(), now) {
		return false
	}
	for _, name := range request.Exclude {
		if name == candidate.Name() {
			return false
		}
	}
	return candidate.Region() == r.Region || r.LinkBudget.Allows(request.Tier, request.Bytes, now)
}

// prefixUpstream returns the upstream of this node's availability zone that a prefix is assigned to by rendezvous
// hashing. It returns nil without a prefix, or if this node has well more requests in flight at that upstream than the
// mean of the zone; see maxLoadRatio.
func (r *Router) prefixUpstream(
	pool *replica.Pool, request Request, now time.Time, includeEjected bool,
) *replica.Replica {
	const maxLoadRatio = 1.25
	if request.Prefix == "" {
		return nil
	}
	var best *replica.Replica
	var bestScore uint64
	total, count := 0, 0
	key := rendezvous.Hash(request.Prefix)
	for _, candidate := range pool.InZone(r.AvailabilityZone) {
		if !r.usable(candidate, request, now, includeEjected) {
			continue
		}
		total += candidate.InFlight()
		count++
		if score := rendezvous.Mix(key, candidate.Hash()); best == nil || score > bestScore {
			best = candidate
			bestScore = score
		}
	}
	if best == nil || float64(best.InFlight()) > maxLoadRatio*float64(total+1)/float64(count)+1 {
		return nil
	}
	return best
}

// cost estimates the time to the first token: queueing, slowdown by load, computing the prefix, and distance.
func (r *Router) cost(
	candidate *replica.Replica, request Request, meanPeerRequests float64, warm bool, now time.Time,
) time.Duration {
	load := float64(candidate.InFlight()) + r.peerRequests(candidate, meanPeerRequests, now)
	slots := float64(candidate.Slots())
	latency := candidate.Latency()
	if latency == 0 {
		latency = DefaultServiceTime
	}
	queued := math.Max(load+1-slots, 0) / slots
	cost := time.Duration((queued + load/slots) * float64(latency))
	if request.Prefix != "" && !warm {
		cost += r.ColdPrefixCost
	}
	return cost + r.distance(candidate)
}

// peerRequests estimates the number of requests of other nodes at an upstream. The estimate moves from its load report
// to the mean of the pool as the report ages.
func (r *Router) peerRequests(candidate *replica.Replica, meanPeerRequests float64, now time.Time) float64 {
	load := candidate.Load()
	if load == nil {
		return meanPeerRequests
	}
	age := now.Sub(load.Received())
	weight := reportWeight * math.Exp(-age.Seconds()/r.ReportDecay.Seconds())
	return weight*load.PeerRequests() + (1-weight)*meanPeerRequests
}

// distance returns the delay to an upstream.
func (r *Router) distance(candidate *replica.Replica) time.Duration {
	switch {
	case candidate.AvailabilityZone() == r.AvailabilityZone:
		return 0
	case candidate.Region() == r.Region:
		return DefaultSameRegionDelay
	}
	return DefaultOtherRegionDelay
}
