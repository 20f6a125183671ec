package site

import (
	"time"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
)

// Policy chooses the upstreams of requests.
type Policy struct {
	// Name is the name in kebab case, and Summary a description in one line.
	Name    string
	Summary string
	// IgnoreTiers gives all requests the same priority at the engines.
	IgnoreTiers bool
	// IgnoreGaps hides the gap targets from the dispatcher. Without one, no request counts as interactive, and no engines
	// are reserved.
	IgnoreGaps bool

	decide func(s *Site, r *request) decision
}

// decision is the chosen upstream. If choice has none, the request is refused, and retryAfter is the time after which
// its caller may retry, 0 for no retry.
type decision struct {
	choice     dispatch.Choice
	retryAfter time.Duration
}

// Policies returns the policies that can be compared. The first is that of lagoongw.
func Policies() []Policy {
	return []Policy{
		{
			Name:    "lagoongw",
			Summary: "the policy of lagoongw: lowest predicted time, prompt affinity, priorities, all regions",
			decide:  productChoice,
		},
		{
			Name:    "no-affinity",
			Summary: "the policy of lagoongw without prompt affinity",
			decide:  withoutAffinity,
		},
		{
			Name:        "no-priority",
			Summary:     "the policy of lagoongw, with the same priority for all requests at the engines",
			IgnoreTiers: true,
			decide:      productChoice,
		},
		{
			Name:    "own-region",
			Summary: "the policy of lagoongw among the upstreams of the node's region",
			decide:  ownRegion,
		},
		{
			Name:       "no-division",
			Summary:    "the policy of lagoongw without engines reserved for interactive requests",
			IgnoreGaps: true,
			decide:     productChoice,
		},
		{
			Name:    "bounded-load",
			Summary: "rendezvous hashing of shared parts among the upstreams with a load of at most a quarter above the mean",
			decide:  boundedLoad,
		},
		{
			Name:    "early-refusal",
			Summary: "the policy of lagoongw; requests predicted to miss their deadline are refused with a retry time",
			decide:  earlyRefusal,
		},
		{
			Name:    "least-loaded",
			Summary: "the upstream with the fewest requests, with current information",
			decide:  leastLoaded,
		},
		{
			Name:    "oracle",
			Summary: "the cost function of lagoongw with exact, current information on caches and queues",
			decide:  oracle,
		},
	}
}

// PolicyByName returns the policy with the given name, or false if there is none.
func PolicyByName(name string) (Policy, bool) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

func (r *request) dispatchRequest() dispatch.Request {
	request := dispatch.Request{
		Pool:    r.pool(),
		Prompt:  r.prompt,
		Tier:    r.class.Tier,
		Gap:     r.class.TargetGap,
		Exclude: r.excluded,
	}
	if r.site.policy.IgnoreGaps {
		request.Gap = 0
	}
	return request
}

func (s *Site) dispatch(r *request, req dispatch.Request) decision {
	return decision{choice: r.node.dispatcher.Choose(req, s.tieRandom.Uint64(), s.clock.Now())}
}

func productChoice(s *Site, r *request) decision { return s.dispatch(r, r.dispatchRequest()) }

// withoutAffinity presents each prompt as a single part that no other request shares, so that no engine is preferred
// for its cached parts.
func withoutAffinity(s *Site, r *request) decision {
	req := r.dispatchRequest()
	if len(r.prompt) > 0 {
		req.Prompt = prompt.Prompt{
			{
				ID:     r.prompt[len(r.prompt)-1].ID,
				Tokens: r.prompt.Tokens(),
			},
		}
	}
	return s.dispatch(r, req)
}

// ownRegion excludes the upstreams of other regions, unless the node's region has none in the pool.
func ownRegion(s *Site, r *request) decision {
	req := r.dispatchRequest()
	req.Exclude = append([]string{}, r.excluded...)
	inRegion := 0
	for _, candidate := range s.table.Load().PoolReplicas(r.pool()) {
		if candidate.Region() != regionName(r.node.region) {
			req.Exclude = append(req.Exclude, candidate.Name())
			continue
		}
		inRegion++
	}
	if inRegion == 0 {
		return productChoice(s, r)
	}
	return s.dispatch(r, req)
}

// boundedLoad chooses by rendezvous hashing of the affinity key among the upstreams whose current number of requests is
// at most the mean times loadFactor plus slack. If there are none, or the request has no prompt, it chooses the
// upstream with the fewest requests.
func boundedLoad(s *Site, r *request) decision {
	const (
		loadFactor = 1.25
		slack      = 3 // requests
	)
	candidates := s.candidates(r)
	total := 0
	for _, c := range candidates {
		total += s.requestCount(c)
	}
	bound := loadFactor*float64(total)/float64(max(len(candidates), 1)) + slack
	key := r.prompt.AffinityKey()
	return s.chooseLowest(candidates, func(c *replica.Replica) float64 {
		if len(r.prompt) == 0 || float64(s.requestCount(c)) > bound {
			return float64(s.requestCount(c))
		}
		const hashRange = 1 << 64
		return -float64(rendezvous.Mix(key, c.Hash())) / hashRange
	})
}

func leastLoaded(s *Site, r *request) decision {
	return s.chooseLowest(s.candidates(r), func(c *replica.Replica) float64 { return float64(s.requestCount(c)) })
}

// earlyRefusal refuses requests that are predicted to miss their deadline, since their prefill would be wasted. The
// retry time is how late the response would be, after which the queue is expected to be short enough.
func earlyRefusal(s *Site, r *request) decision {
	const minRetryAfter = time.Second // Retry-After has whole seconds
	d := productChoice(s, r)
	timeLeft := r.arrivedAt.Add(r.class.Deadline).Sub(s.clock.Now())
	if lateBy := d.choice.Predicted - timeLeft; d.choice.Replica != nil && lateBy > 0 {
		return decision{retryAfter: max(lateBy, minRetryAfter)}
	}
	return d
}

// oracle compares upstreams by their actual caches and queues. It shows how much better information could improve the
// choice.
func oracle(s *Site, r *request) decision {
	return s.chooseLowest(s.candidates(r), func(c *replica.Replica) float64 {
		u := s.byName[c.Name()]
		distance := float64(s.delay(r.node.region, u.region))
		if u.engine == nil {
			return distance + float64(u.running+len(u.queue))*float64(r.class.ServiceTime)
		}
		uncached := u.engine.Uncached(r.prompt)
		profile := s.spec.Engine.Profile()
		first := profile.TimeToFirstToken(uncached+u.engine.Backlog(r.class.Tier), u.engine.Running())
		return distance + float64(first)*max(u.engine.Slowdown, 1) + float64(dispatch.DisplacementCost(profile, uncached))
	})
}

// candidates returns the upstreams of the request's pool that are in the table and up.
func (s *Site) candidates(r *request) []*replica.Replica {
	var up []*replica.Replica
	for _, c := range s.table.Load().PoolReplicas(r.pool()) {
		if !s.byName[c.Name()].down {
			up = append(up, c)
		}
	}
	return up
}

// requestCount returns the current number of requests at an upstream.
func (s *Site) requestCount(c *replica.Replica) int {
	u := s.byName[c.Name()]
	if u.engine == nil {
		return u.running + len(u.queue)
	}
	return u.engine.Requests()
}

// chooseLowest chooses the candidate with the lowest cost, the first of several.
func (s *Site) chooseLowest(candidates []*replica.Replica, cost func(c *replica.Replica) float64) decision {
	var best dispatch.Choice
	lowest := 0.0
	for _, c := range candidates {
		if value := cost(c); best.Replica == nil || value < lowest {
			best.Replica = c
			lowest = value
		}
	}
	return decision{choice: best}
}
