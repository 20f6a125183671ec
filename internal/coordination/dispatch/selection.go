package dispatch

import (
	"slices"
	"time"

	"lagoongw/internal/coordination/calibration"
	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
)

// selection is the state of one call of Dispatcher.Choose.
type selection struct {
	request Request
	view    *view
	engine  *route.Engine
	// profile is the speed of the pool's engines.
	profile calibration.Profile
	now     time.Time
	random  uint64
	// promptTokens is the length of the prompt, and cacheHolders are the upstreams that have its beginning in the
	// cache.
	promptTokens int
	cacheHolders map[*upstreamState]time.Time
	parts        *partIndex
	// peerScale extrapolates the peers' loads to the nodes that no digest was received from; see
	// Dispatcher.expirePeers.
	peerScale float64
	// homes are the upstreams that are to cache the shared parts of the prompt, the one with the highest score first.
	homes []scoredUpstream
	// interactive reports whether the request is interactive; interactiveEngines is the number of engines reserved
	// for such requests.
	interactive        bool
	interactiveEngines int
	// backedOff selects the upstreams in backoff instead of the others; avoidLimited omits those that have named a limit, and
	// isolated those that run a request that is suspected of a crash.
	backedOff    bool
	avoidLimited bool
	isolated     bool
	// selective reports whether any upstream has a limit or is to be avoided.
	selective  bool
	limits     *ratelimit.Limits
	brittle    *ratelimit.Limits
	candidates int
	best       Choice
}

// eligible reports whether an upstream is compared. It checks the view because the part index also contains upstreams
// of other pools and removed ones.
func (c *selection) eligible(s *upstreamState) bool {
	return s.view == c.view && !s.replica.Leaving() && !s.health.paused(c.now) && s.backedOff(c.now) == c.backedOff &&
		!slices.Contains(c.request.Exclude, s.replica.Name()) && c.request.accepts(s.replica.Version()) &&
		(!c.selective || !c.denied(s) && !c.avoided(s))
}

// avoided reports whether an upstream is omitted as long as there are others.
func (c *selection) avoided(s *upstreamState) bool {
	return c.avoidLimited && c.limit(s) > 0 || c.isolated && s.suspects > 0
}

// limit returns the limit that an upstream has named in requests a second, 0 for none.
func (c *selection) limit(s *upstreamState) float64 {
	if !c.selective {
		return 0
	}
	return c.limits.Limit(limitKey(s.replica))
}

// denied reports whether no send to an upstream is left within its limit or its room for now.
func (c *selection) denied(s *upstreamState) bool {
	return c.now.Before(s.deniedUntil) && (c.limit(s) > 0 || c.isBrittle(s))
}

func (c *selection) isBrittle(s *upstreamState) bool {
	return c.selective && c.brittle.Limit(limitKey(s.replica)) > 0
}

// roomless reports whether an upstream of the pool is left out because it is brittle and full.
func (c *selection) roomless() bool {
	return slices.ContainsFunc(c.view.states, func(s *upstreamState) bool { return c.isBrittle(s) && c.denied(s) })
}

// compareAll compares all eligible upstreams of the pool.
func (c *selection) compareAll() {
	c.candidates = 0
	for _, s := range c.view.states {
		if c.eligible(s) {
			c.candidates++
			c.consider(s)
		}
	}
}

// endOfPauses returns when the first of the pool's upstreams that asked to be sent nothing, or are at their limits, may be
// sent requests again, and the sum of the limits of the latter. It is zero unless all upstreams that could be used are
// either.
func (c *selection) endOfPauses() (first time.Time, limited float64) {
	for _, s := range c.view.states {
		if s.replica.Leaving() {
			continue
		}
		until := s.health.pausedUntil
		if c.denied(s) {
			limited += c.limit(s)
			until = later(until, s.deniedUntil)
		}
		if !until.After(c.now) {
			return time.Time{}, 0
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, limited
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// compareCacheHolders compares the homes of the prompt and the upstreams that have its beginning in the cache.
func (c *selection) compareCacheHolders() {
	for _, candidate := range c.homes {
		c.consider(candidate.state)
	}
	for s := range c.cacheHolders {
		if c.eligible(s) {
			c.consider(s)
		}
	}
}

// minCostElsewhere returns a lower bound on the cost of the upstreams that compareCacheHolders does not compare.
func (c *selection) minCostElsewhere() time.Duration {
	if c.engine == nil || c.promptTokens == 0 {
		return 0
	}
	return c.profile.TimeToFirstToken(c.promptTokens, 0) + c.affinityCost(c.promptTokens, nonHome)
}

// consider makes an upstream the best choice if its cost is lower.
func (c *selection) consider(s *upstreamState) {
	choice := c.estimate(s)
	if choice.Cost < c.best.Cost ||
		choice.Cost == c.best.Cost && c.tieBreaker(s.replica) < c.tieBreaker(c.best.Replica) {
		c.best = choice
	}
}

// tieBreaker orders upstreams of equal cost, in a different order for each request.
func (c *selection) tieBreaker(r *replica.Replica) uint64 { return rendezvous.Mix(c.random, r.Hash()) }

// reservedForOthers reports whether an upstream is reserved for the other kind of request, interactive or bulk.
func (c *selection) reservedForOthers(s *upstreamState) bool {
	return c.interactiveEngines > 0 && c.interactive != (s.hashRank < c.interactiveEngines)
}

// estimate predicts the response time and the cost of the request at an upstream.
func (c *selection) estimate(s *upstreamState) Choice {
	if c.engine == nil || len(c.request.Prompt) == 0 {
		predicted := s.distance + s.forecast.predictPlain(s.replica)
		return Choice{
			Replica:   s.replica,
			Cost:      predicted + s.health.failurePenalty(c.now),
			Predicted: predicted,
			Reason:    reasonLowestCost,
		}
	}
	aff := c.affinity(s)
	uncached, assumed := c.uncached(s, aff)
	waitingTokens := s.forecast.backlog(c.request.Tier, c.now) + int(c.peerScale*float64(s.peerLoad.Waiting))
	running := s.forecast.running + int(c.peerScale*float64(s.peerLoad.Running))
	timeToFirstToken := c.profile.TimeToFirstToken(uncached+waitingTokens, running)
	adjusted := s.distance + time.Duration(float64(timeToFirstToken)*s.health.slowness(c.now))
	if c.reservedForOthers(s) {
		adjusted += reservedCost
	}
	return Choice{
		Replica:     s.replica,
		Interactive: c.interactive,
		Cost: adjusted + s.health.failurePenalty(c.now) + crowdingCost(running, s.replica.Slots()) +
			c.affinityCost(uncached, aff),
		Predicted: s.distance + timeToFirstToken,
		Uncached:  uncached,
		assumed:   assumed,
		Reason:    reasonLowestCost,
	}
}

// uncached returns the number of prompt tokens that an upstream has to prefill, and whether it is assumed that other
// nodes had the rest cached there.
func (c *selection) uncached(s *upstreamState, aff affinity) (tokens int, assumed bool) {
	if aff != primaryHome {
		if _, holds := c.cacheHolders[s]; !holds {
			return c.promptTokens, false
		}
	}
	return c.parts.uncached(s, c.request.Prompt, aff == primaryHome, c.now)
}

// DisplacementCost returns what the prefill of uncached prompt tokens costs other requests: those queued behind it and
// those whose cached parts it evicts.
func DisplacementCost(profile calibration.Profile, uncached int) time.Duration {
	return displacementFactor * profile.Prefill(uncached)
}

// affinityCost returns the displacement cost, raised by nonHomeFactor where no other request will reuse the cached
// parts.
func (c *selection) affinityCost(uncached int, aff affinity) time.Duration {
	cost := DisplacementCost(c.profile, uncached)
	if aff == nonHome {
		return nonHomeFactor * cost
	}
	return cost
}
