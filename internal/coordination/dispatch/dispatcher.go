package dispatch

import (
	"math"
	"sync"
	"time"

	"lagoongw/internal/coordination/calibration"
	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
)

const (
	// otherZoneCost is the round trip between availability zones of a region plus the cost of the bytes sent,
	// expressed as time.
	otherZoneCost = 12 * time.Millisecond
	// otherRegionCost is the round trip between regions. Little is added for the bytes sent, since prompt parts are
	// cached at one home for both regions, and a higher cost would keep requests of the other region from it.
	otherRegionCost = 60 * time.Millisecond
	// displacementFactor is the cost of a prefill to other requests, as a multiple of the time of the prefill; see
	// docs/MODEL.md.
	displacementFactor = 20
	// maxHomes is the number of homes of a prompt, the upstreams that are to cache its shared parts; see rankHomes.
	// nonHomeFactor multiplies the displacement cost at any other upstream, where no other request will reuse the
	// cached parts. See docs/MODEL.md.
	maxHomes      = 4
	nonHomeFactor = 3
	// reservedCost is added for engines that are reserved for the other kind of request, interactive or bulk. It is
	// about the target time to the first event.
	reservedCost = time.Second
	// reasonLowestCost is the Reason of every Choice that has an upstream.
	reasonLowestCost = "lowest predicted time"
)

// Request holds the properties of a request that the choice of an upstream depends on.
type Request struct {
	Pool   string
	Prompt prompt.Prompt
	// Tier is the priority tier; 0 is the highest priority.
	Tier int
	// Gap is the target for the longest pause between events, zero for no target.
	Gap time.Duration
	// Exclude lists the names of upstreams that must not be chosen, such as those that the request was already sent
	// to.
	Exclude []string
	// Digest identifies a request that comes again with the same content; 0 means that it is not known.
	Digest uint64
	// Bound reports whether the request goes on with a stream, which only upstreams with the software version that began it
	// may do. An empty Version is unknown and is that of none.
	Bound   bool
	Version string
	// AvoidLimited prefers the upstreams that have named no limit.
	AvoidLimited bool
}

// Choice is the chosen upstream, or a nil Replica and the Reason why no upstream can be chosen.
type Choice struct {
	Replica *replica.Replica
	// Candidates is the number of upstreams that could have been chosen.
	Candidates int
	// Cost is the value that upstreams are compared by: the predicted time, corrected for the upstream's slowness,
	// plus the costs of its failures, of its load, of a reservation for other requests, and of the prefill.
	Cost time.Duration
	// Predicted is the time to the response, or to the first event of a stream, at a healthy upstream.
	Predicted time.Duration
	// Uncached is the number of prompt tokens that the upstream is expected to prefill.
	Uncached int
	// assumed reports that Uncached relies on what other nodes are expected to have sent there.
	assumed bool
	// Interactive reports whether the prompt is short and the pauses between the events of the response have to be
	// short too.
	Interactive bool
	Reason      string
	// RetryAt is when the first upstream may be sent requests again if all of the pool asked to be sent none, or are at
	// their limits, else zero.
	RetryAt time.Time
}

// Dispatcher chooses upstreams. It is safe for concurrent use once its exported fields are set.
type Dispatcher struct {
	// Name is the name of this node. AvailabilityZone and Region are its location.
	Name             string
	AvailabilityZone string
	Region           string
	// Table holds the upstreams.
	Table *replica.Table
	// Pool returns the operators' configuration of a pool.
	Pool func(name string) (route.Pool, bool)
	// Nodes returns the number of nodes that send requests to the upstreams, including this one.
	Nodes func() int
	// Rank, if set, returns this node's rank for a key among the live nodes, 0 for the first.
	Rank func(key string) int
	// CountRequests adds the requests in pools with scaling to the digests, for the node that decides on the number of
	// upstreams.
	CountRequests bool
	// OnSplitChange, if set, is called when the number of engines that are reserved for interactive requests changes,
	// with that number and the number of all engines of the pool. It must not block.
	OnSplitChange func(pool string, interactive, engines int)
	// OnProfileChange, if set, is called when what is known of the speed of a pool's engines has changed. It must not
	// block.
	OnProfileChange func(pool string, profile calibration.Profile)

	mu     sync.Mutex
	states map[*replica.Replica]*upstreamState
	views  map[string]*view
	parts  partIndex
	splits map[string]*split
	paces  map[string]*pace
	// peers holds the digests received from other nodes, by node name, and the sums received from relays, by siteKey or
	// by zonePrefix and the zone.
	peers map[string]peerDigest
	// peerLoads is the sum of the peers' loads by upstream.
	peerLoads map[string]*Load
	// quarantine holds the evidence about what crashes upstreams, of all nodes.
	quarantine quarantine.Registry
	// limits holds the limits that upstreams have named, of all nodes; grants are the sends that this node grants.
	limits ratelimit.Limits
	// brittle holds how many requests a second brittle upstreams may turn away.
	brittle ratelimit.Limits
	grants  ratelimit.Grants
	// offered holds the requests that were sent and refused by pool, if CountRequests is set.
	offered map[string]*offered
	// lastReturn is the latest time that a refused caller was told to come back at, by pool.
	lastReturn map[string]time.Time
}

// upstreamState is what this node knows about one upstream.
type upstreamState struct {
	replica *replica.Replica
	// distance is the cost of sending a request from this node to the upstream.
	distance time.Duration
	health   health
	forecast forecast
	// peerLoad is the sum of the loads that the other nodes advertise.
	peerLoad *Load
	// suspects is the number of this node's requests there that are suspected of a crash.
	suspects int
	// deniedUntil is when the next send within the upstream's limit may be granted.
	deniedUntil time.Time
	// serverLoad is the load that the upstream last told this node.
	serverLoad ratelimit.ServerLoad
	// hashRank is the index among the upstreams of the pool in hash order. The first ones are reserved for
	// interactive requests.
	hashRank int
	// view is the newest view that contains the upstream.
	view *view
}

// state returns the state of an upstream, creating it if needed; the lock must be held.
func (d *Dispatcher) state(r *replica.Replica) *upstreamState {
	if d.states == nil {
		d.states = map[*replica.Replica]*upstreamState{}
	}
	s := d.states[r]
	if s == nil {
		s = &upstreamState{
			replica:  r,
			distance: d.distance(r),
			peerLoad: d.peerLoad(r.Name()),
		}
		d.states[r] = s
	}
	return s
}

// Choose returns the upstream with the lowest cost; random breaks ties. Upstreams in backoff are chosen only if there
// are no others.
func (d *Dispatcher) Choose(request Request, random uint64, now time.Time) Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(request.Pool)
	pool, _ := d.Pool(request.Pool)
	c := &selection{
		request:      request,
		view:         v,
		engine:       pool.Engine,
		now:          now,
		random:       random,
		promptTokens: request.Prompt.Tokens(),
		cacheHolders: d.parts.holders(request.Prompt),
		parts:        &d.parts,
		peerScale:    d.expirePeers(now),
		best: Choice{
			Cost:   math.MaxInt64,
			Reason: request.noUpstreamReason(),
		},
	}
	c.interactiveEngines = d.interactiveEngines(request.Pool, len(v.states), c.peerScale, now)
	known := d.updatedPace(request.Pool, now)
	c.profile = known.profile
	c.interactive = known.isInteractive(request, pool.Engine, now)
	c.limits, c.brittle = &d.limits, &d.brittle
	isolated := d.quarantine.Suspected(request.causes())
	c.selective = !d.limits.Empty() || !d.brittle.Empty() || isolated
	c.rankHomes()
	if c.avoidLimited, c.isolated = request.AvoidLimited, isolated; c.avoidLimited || c.isolated {
		c.compareAll()
		c.avoidLimited, c.isolated = false, false
	}
	if c.best.Replica == nil {
		c.compareCacheHolders()
		if c.best.Cost > c.minCostElsewhere() {
			c.compareAll()
		}
	}
	if c.best.Replica == nil {
		c.backedOff = true
		c.compareAll()
	}
	if c.best.Replica == nil {
		d.countRefusal(request, now)
		d.refuse(c)
	}
	c.best.Candidates = c.candidates
	return c.best
}

// noUpstreamReason explains why no upstream can be chosen, unless more is known.
func (r *Request) noUpstreamReason() string {
	if r.Bound {
		return "no usable upstream with the software version that began the stream"
	}
	return "no usable upstream in the pool"
}

// accepts reports whether the request may be sent to upstreams with a software version.
func (r *Request) accepts(version string) bool {
	return !r.Bound || r.Version != "" && r.Version == version
}

// refuse explains why no upstream can be chosen; the lock must be held.
func (d *Dispatcher) refuse(c *selection) {
	at, limited := c.endOfPauses()
	switch {
	case at.IsZero():
		return
	case limited == 0 && c.roomless():
		c.best.Reason = "all upstreams of the pool are full, and would fall over if they had to refuse"
	case limited > 0:
		at = d.nextReturn(c.request.Pool, at, limited)
		c.best.Reason = "all upstreams of the pool are at the limits that they have named"
	default:
		c.best.Reason = "all upstreams of the pool asked to be sent nothing for a while"
	}
	c.best.RetryAt = at
}

// Lookup returns the upstream with the given name, nil if there is none.
func (d *Dispatcher) Lookup(name string) *replica.Replica {
	r, _ := d.Table.Load().Replica(name)
	return r
}

// distance returns the cost of sending a request from this node to an upstream.
func (d *Dispatcher) distance(r *replica.Replica) time.Duration {
	switch {
	case r.AvailabilityZone() == d.AvailabilityZone:
		return 0
	case r.Region() == d.Region:
		return otherZoneCost
	}
	return otherRegionCost
}

// Prune drops the state of upstreams that are no longer in the table.
func (d *Dispatcher) Prune() {
	snapshot := d.Table.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	for r := range d.states {
		if current, known := snapshot.Replica(r.Name()); !known || current != r {
			d.parts.removeUpstream(d.states[r])
			delete(d.states, r)
		}
	}
	d.brittle.Prune(func(u ratelimit.Upstream) bool { return lookup(snapshot, u) != nil })
	d.limits.Prune(func(u ratelimit.Upstream) bool { return lookup(snapshot, u) != nil })
	for name, load := range d.peerLoads {
		if _, known := snapshot.Replica(name); !known && *load == (Load{}) {
			delete(d.peerLoads, name)
		}
	}
}
