package dispatch

import (
	"slices"
	"time"

	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
)

// choosing is one choice in progress.
type choosing struct {
	request Request
	view    *view
	engine  *route.Engine
	now     time.Time
	random  uint64
	// whole is the length of the prompt, keepers the upstreams that need not read all of it.
	whole   int
	keepers map[*state]time.Time
	parts   *parts
	// scale is how much larger the load of all other nodes is than that of those that were heard.
	scale float64
	// ranked are the upstreams at which the shared parts are kept together, the first one first.
	ranked []ranked
	// interactive tells that pauses matter, split how many engines are for such requests.
	interactive bool
	split       int
	// leftAlone compares the upstreams that are left alone for now instead of the others.
	leftAlone  bool
	candidates int
	best       Choice
}

// open reports whether an upstream is among those that are compared. Parts of prompts may be kept at upstreams of another pool,
// and at some that are gone.
func (c *choosing) open(s *state) bool {
	return s.view == c.view && !s.replica.Leaving() && s.avoids(c.now) == c.leftAlone && !slices.Contains(c.request.Exclude, s.replica.Name())
}

func (c *choosing) compare() {
	c.candidates = 0
	for _, s := range c.view.states {
		if c.open(s) {
			c.candidates++
			c.consider(s)
		}
	}
}

// compareFavourites compares the upstreams that keep parts of the prompt, or should.
func (c *choosing) compareFavourites() {
	for _, known := range c.ranked {
		c.consider(known.state)
	}
	for s := range c.keepers {
		if c.open(s) {
			c.consider(s)
		}
	}
}

// leastElsewhere is the least that the choice of any other upstream can cost.
func (c *choosing) leastElsewhere() time.Duration {
	if c.engine == nil || c.whole == 0 {
		return 0
	}
	return TimeToFirstToken(c.whole, 0) + displaced(c.whole, stray)
}

func (c *choosing) consider(s *state) {
	choice := c.assess(s)
	if choice.Cost < c.best.Cost || choice.Cost == c.best.Cost && c.tie(s.replica) < c.tie(c.best.Replica) {
		c.best = choice
	}
}

// tie orders upstreams of equal cost, differently for each request.
func (c *choosing) tie(r *replica.Replica) uint64 { return rendezvous.Mix(c.random, r.Hash()) }

// reservedForOthers reports whether an upstream is for the other kind of requests.
func (c *choosing) reservedForOthers(s *state) bool {
	return c.split > 0 && c.interactive != (s.order < c.split)
}

// assess predicts how a request would fare at an upstream, and what that would cost.
func (c *choosing) assess(s *state) Choice {
	if c.engine == nil || len(c.request.Prompt) == 0 {
		predicted := s.distance + s.forecast.plain(s.replica)
		return Choice{
			Replica:   s.replica,
			Cost:      predicted + s.health.cost(c.now),
			Predicted: predicted,
			Reason:    lowestCost,
		}
	}
	at := c.affinity(s)
	uncached := c.uncached(s, at)
	ahead := s.forecast.backlog(c.request.Tier, c.now) + int(c.scale*float64(s.others.Waiting))
	running := s.forecast.running + int(c.scale*float64(s.others.Running))
	first := TimeToFirstToken(uncached+ahead, running)
	slowed := s.distance + time.Duration(float64(first)*s.health.slowness(c.now))
	if c.reservedForOthers(s) {
		slowed += reservedCost
	}
	return Choice{
		Replica:     s.replica,
		Interactive: c.interactive,
		Cost:        slowed + s.health.cost(c.now) + crowding(running, s.replica.Slots()) + displaced(uncached, at),
		Predicted:   s.distance + first,
		Uncached:    uncached,
		Reason:      lowestCost,
	}
}

// uncached returns how many tokens of the prompt an upstream has to read.
func (c *choosing) uncached(s *state, at affinity) int {
	if at != home {
		if _, keeps := c.keepers[s]; !keeps {
			return c.whole
		}
	}
	return c.parts.uncached(s, c.request.Prompt, at == home, c.now)
}

// DisplacementCost is what the reading of so many prompt tokens costs the requests behind it and those whose parts it pushes out.
func DisplacementCost(uncached int) time.Duration {
	return time.Duration(displacedFactor * float64(uncached) / readPerMillisecond * float64(time.Millisecond))
}

// displaced raises that cost where no other request will look for the parts.
func displaced(uncached int, at affinity) time.Duration {
	if at == stray {
		return time.Duration(strayFactor * float64(DisplacementCost(uncached)))
	}
	return DisplacementCost(uncached)
}
