package dispatch

import (
	"math"
	"sync"
	"time"

	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
)

const (
	// otherZoneCost is a round trip between zones of one region, and what the bytes are worth in waiting time.
	otherZoneCost = 12 * time.Millisecond
	// otherRegionCost is a round trip between regions; parts are kept at one upstream of both, so little is added to it.
	otherRegionCost = 60 * time.Millisecond
	// displacedFactor is how many times its own reading a prompt costs others; compared in docs/MODEL.md.
	displacedFactor = 20
	// homes is how many upstreams take the shared parts of a prompt in their order, and strayFactor raises that cost away from
	// them, where no other request will look for the parts; compared in docs/MODEL.md.
	homes       = 4
	strayFactor = 3
	// reservedCost is what a place among the engines for the other kind of requests costs: about the target of a first event.
	reservedCost = time.Second
	// lowestCost is the reason of every choice that could be made.
	lowestCost = "lowest predicted time"
)

// Request is what the choice needs to know of a request.
type Request struct {
	Pool   string
	Prompt prompt.Prompt
	// Tier is the rank, 0 first.
	Tier int
	// Gap is the longest wanted pause between events, zero for none.
	Gap time.Duration
	// Exclude names upstreams that have had the request.
	Exclude []string
}

// Choice is the chosen upstream, or a nil replica with the reason why there is none.
type Choice struct {
	Replica    *replica.Replica
	Candidates int
	// Cost is what the choices were compared by: the predicted time, with what the upstream's health and the reading of the
	// prompt cost.
	Cost time.Duration
	// Predicted is the time to the answer or the first event at a healthy upstream.
	Predicted time.Duration
	// Uncached is the prompt tokens that the upstream is expected to read.
	Uncached int
	// Interactive tells that the pauses of the answer have to be short.
	Interactive bool
	Reason      string
}

// Dispatcher chooses upstreams; it is safe for concurrent use once its fields are set.
type Dispatcher struct {
	// AvailabilityZone and Region are where this node stands.
	AvailabilityZone string
	Region           string
	// Table holds the upstreams.
	Table *replica.Table
	// Pool returns what operators say of a pool.
	Pool func(name string) (route.Pool, bool)
	// Nodes returns how many nodes send to the upstreams, this one included.
	Nodes func() int
	// OnSplitChange, when set, is told how many engines of a pool are now for interactive requests; it must not block.
	OnSplitChange func(pool string, interactive, engines int)

	mu     sync.Mutex
	states map[*replica.Replica]*state
	views  map[string]*view
	parts  parts
	splits map[string]*split
	peers  map[string]peerDigest
	// told is what this node last told.
	told Digest
	// heard is the sum of what the peers told of each upstream.
	heard map[string]*Load
}

// state is what this node knows of one upstream.
type state struct {
	replica  *replica.Replica
	distance time.Duration
	health   health
	forecast forecast
	// others is what the other nodes told.
	others *Load
	// order is the place among the upstreams of the pool, by hash; the first ones are for interactive requests.
	order int
	// view is the newest one that has the upstream.
	view *view
}

func (d *Dispatcher) state(r *replica.Replica) *state {
	if d.states == nil {
		d.states = map[*replica.Replica]*state{}
	}
	s := d.states[r]
	if s == nil {
		s = &state{
			replica:  r,
			distance: d.distance(r),
			others:   d.heardAt(r.Name()),
		}
		d.states[r] = s
	}
	return s
}

// Choose returns the upstream with the lowest cost; random breaks ties. Upstreams that are left alone for now are taken only
// when there are no others.
func (d *Dispatcher) Choose(request Request, random uint64, now time.Time) Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(request.Pool)
	pool, _ := d.Pool(request.Pool)
	c := &choosing{
		request: request,
		view:    v,
		engine:  pool.Engine,
		now:     now,
		random:  random,
		whole:   request.Prompt.Tokens(),
		keepers: d.parts.keepers(request.Prompt),
		parts:   &d.parts,
		scale:   d.dropSilent(now),
		best: Choice{
			Cost:   math.MaxInt64,
			Reason: "no usable upstream in the pool",
		},
	}
	c.split = d.interactiveEngines(request.Pool, len(v.states), c.scale, now)
	c.interactive = isInteractive(request, pool.Engine)
	c.rankHomes()
	c.compareFavourites()
	if c.best.Cost > c.leastElsewhere() {
		c.compare()
	}
	if c.best.Replica == nil {
		c.leftAlone = true
		c.compare()
	}
	c.best.Candidates = c.candidates
	return c.best
}

func (d *Dispatcher) distance(r *replica.Replica) time.Duration {
	switch {
	case r.AvailabilityZone() == d.AvailabilityZone:
		return 0
	case r.Region() == d.Region:
		return otherZoneCost
	}
	return otherRegionCost
}

// Prune drops what is known of upstreams that are not in the table any more.
func (d *Dispatcher) Prune() {
	snapshot := d.Table.Load()
	d.mu.Lock()
	defer d.mu.Unlock()
	for r := range d.states {
		if held, known := snapshot.Replica(r.Name()); !known || held != r {
			d.parts.forget(d.states[r])
			delete(d.states, r)
		}
	}
	for name, load := range d.heard {
		if _, known := snapshot.Replica(name); !known && *load == (Load{}) {
			delete(d.heard, name)
		}
	}
}
