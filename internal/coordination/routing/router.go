package routing

import (
	"math"
	"time"

	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
)

// Defaults of the router's settings.
const (
	DefaultReportDecay      = 2 * time.Second
	DefaultColdPrefixCost   = 150 * time.Millisecond
	DefaultSameRegionDelay  = time.Millisecond
	DefaultOtherRegionDelay = 62 * time.Millisecond
	DefaultServiceTime      = 400 * time.Millisecond
	smallPool               = 16
	nearChoices             = 3
	// reportGain below 1 keeps nodes that follow the same late reports from swinging between upstreams.
	reportGain = 0.2
)

// Request is what the router needs to know of a request.
type Request struct {
	Pool    string
	Model   string
	Prefix  string
	Tier    int
	Bytes   int
	Exclude []string
	// Prefer names an upstream where a place was made for the request.
	Prefer string
}

// Choice is the chosen upstream, or a nil replica with the reason why there is none.
type Choice struct {
	Replica    *replica.Replica
	Candidates int
	Cost       time.Duration
	Warm       bool
	Reason     string
}

// Router chooses upstreams; it is safe for concurrent use once its fields are set.
type Router struct {
	// AvailabilityZone and Region are where this node stands.
	AvailabilityZone string
	Region           string
	// Table holds the upstreams.
	Table *replica.Table
	// Ejector knows the slow and failing upstreams.
	Ejector *Ejector
	// LinkBudget is the byte budget of the link between regions.
	LinkBudget *LinkBudget
	// ReportDecay is the age at which a load report has lost most of its worth.
	ReportDecay time.Duration
	// ColdPrefixCost is the cost of a prompt prefix that the engine has to compute.
	ColdPrefixCost time.Duration
}

// Choose returns the upstream for a request; random must be uniform over all values.
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
			Reason:     "a lower request makes place here",
		}
	}
	choice := r.choose(pool, request, random, now, false)
	if choice.Replica == nil {
		choice = r.choose(pool, request, random, now, true)
	}
	return choice
}

func (r *Router) choose(pool *replica.Pool, request Request, random uint64, now time.Time, anyEjected bool) Choice {
	best := Choice{Cost: math.MaxInt64}
	mean := pool.MeanPeerRequests()
	near, anywhere := r.wanted(pool)
	best = r.sample(best, pool.InZone(r.AvailabilityZone), near, request, mean, random, now, anyEjected)
	best = r.sample(best, pool.All(), best.Candidates+anywhere, request, mean, random, now, anyEjected)
	if affine := r.affine(pool, request, now, anyEjected); affine != nil {
		best = r.better(best, affine, request, mean, now)
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

// wanted returns how many upstreams to compare: all of a small pool, of a large one a few near and one anywhere.
func (r *Router) wanted(pool *replica.Pool) (near, anywhere int) {
	size := len(pool.All())
	if size <= smallPool {
		return 0, size
	}
	return nearChoices, 1
}

// sample compares usable upstreams of a list, from a random place on, until enough have been compared.
func (r *Router) sample(best Choice, list []*replica.Replica, enough int, request Request, mean float64, random uint64, now time.Time, anyEjected bool) Choice {
	for i := range list {
		if best.Candidates >= enough {
			break
		}
		candidate := list[(int(random%uint64(len(list)))+i)%len(list)]
		if r.usable(candidate, request, now, anyEjected) {
			best = r.better(best, candidate, request, mean, now)
		}
	}
	return best
}

func (r *Router) better(best Choice, candidate *replica.Replica, request Request, mean float64, now time.Time) Choice {
	if candidate == best.Replica {
		return best
	}
	warm := candidate.HasCachedPrefix(request.Prefix, now)
	cost := r.cost(candidate, request, mean, warm, now)
	best.Candidates++
	if best.Replica == nil || cost < best.Cost {
		best.Replica = candidate
		best.Cost = cost
		best.Warm = warm
	}
	return best
}

func (r *Router) usable(candidate *replica.Replica, request Request, now time.Time, anyEjected bool) bool {
	if candidate.Leaving() || !candidate.Serves(request.Model) {
		return false
	}
	if !anyEjected && r.Ejector.Ejected(candidate.Name(), now) {
		return false
	}
	for _, name := range request.Exclude {
		if name == candidate.Name() {
			return false
		}
	}
	return candidate.Region() == r.Region || r.LinkBudget.Allows(request.Tier, request.Bytes, now)
}

// affine returns the upstream of the zone that a prefix belongs to, unless its load is well above the mean.
func (r *Router) affine(pool *replica.Pool, request Request, now time.Time, anyEjected bool) *replica.Replica {
	const bound = 1.25
	if request.Prefix == "" {
		return nil
	}
	var best *replica.Replica
	var bestScore uint64
	total, count := 0, 0
	key := rendezvous.Hash(request.Prefix)
	for _, candidate := range pool.InZone(r.AvailabilityZone) {
		if !r.usable(candidate, request, now, anyEjected) {
			continue
		}
		total += candidate.InFlight()
		count++
		if score := rendezvous.Mix(key, candidate.Hash()); best == nil || score > bestScore {
			best = candidate
			bestScore = score
		}
	}
	if best == nil || float64(best.InFlight()) > bound*float64(total+1)/float64(count)+1 {
		return nil
	}
	return best
}

// cost estimates the time to the first token: waiting, slowing by load, the prefix, and the distance.
func (r *Router) cost(candidate *replica.Replica, request Request, mean float64, warm bool, now time.Time) time.Duration {
	load := float64(candidate.InFlight()) + r.others(candidate, mean, now)
	slots := float64(candidate.Slots())
	service := candidate.Latency()
	if service == 0 {
		service = DefaultServiceTime
	}
	ahead := math.Max(load+1-slots, 0) / slots
	cost := time.Duration((ahead + load/slots) * float64(service))
	if request.Prefix != "" && !warm {
		cost += r.ColdPrefixCost
	}
	return cost + r.distance(candidate)
}

// others estimates the requests of other nodes: the report while it is fresh, the pool's mean as it ages.
func (r *Router) others(candidate *replica.Replica, mean float64, now time.Time) float64 {
	load := candidate.Load()
	if load == nil {
		return mean
	}
	age := now.Sub(load.Received())
	trust := reportGain * math.Exp(-age.Seconds()/r.ReportDecay.Seconds())
	return trust*load.PeerRequests() + (1-trust)*mean
}

func (r *Router) distance(candidate *replica.Replica) time.Duration {
	switch {
	case candidate.AvailabilityZone() == r.AvailabilityZone:
		return 0
	case candidate.Region() == r.Region:
		return DefaultSameRegionDelay
	}
	return DefaultOtherRegionDelay
}
