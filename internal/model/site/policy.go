package site

import (
	"time"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
)

// Policy decides where requests go.
type Policy struct {
	// Name is the policy's name in kebab case, Summary says what it does.
	Name    string
	Summary string
	// IgnoreTiers tells engines that all requests are equally urgent.
	IgnoreTiers bool

	decide func(s *Site, r *request) decision
}

// decision is an upstream, or none and when to come back, zero for not at all.
type decision struct {
	choice     dispatch.Choice
	retryAfter time.Duration
}

// Policies returns the policies that can be compared; the first is the product's own.
func Policies() []Policy {
	return []Policy{
		{
			Name:    "lagoongw",
			Summary: "the product's choice: parts have homes, predicted time, priorities, all regions",
			decide:  own,
		},
		{
			Name:    "no-affinity",
			Summary: "the product's choice, blind to which parts prompts share",
			decide:  withoutAffinity,
		},
		{
			Name:        "no-priority",
			Summary:     "the product's choice; engines take all requests as equally urgent",
			IgnoreTiers: true,
			decide:      own,
		},
		{
			Name:    "own-region",
			Summary: "the product's choice among the upstreams of the node's region",
			decide:  ownRegion,
		},
		{
			Name:    "no-division",
			Summary: "the product's choice, not told which answers may hardly pause",
			decide:  withoutDivision,
		},
		{
			Name:    "bounded-load",
			Summary: "one home for each part while its load is at most a quarter above the mean",
			decide:  boundedLoad,
		},
		{
			Name:    "early-refusal",
			Summary: "the product's choice; what is predicted to miss its deadline is refused and told when to come back",
			decide:  earlyRefusal,
		},
		{
			Name:    "least-loaded",
			Summary: "the upstream with the fewest requests, known without delay",
			decide:  leastLoaded,
		},
		{
			Name:    "oracle",
			Summary: "the product's cost with perfect knowledge of caches and queues",
			decide:  oracle,
		},
	}
}

// PolicyByName returns a policy.
func PolicyByName(name string) (Policy, bool) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, true
		}
	}
	return Policy{}, false
}

func (r *request) asDispatched() dispatch.Request {
	return dispatch.Request{
		Pool:    r.pool(),
		Prompt:  r.prompt,
		Tier:    r.class.Tier,
		Gap:     r.class.TargetGap,
		Exclude: r.excluded,
	}
}

func (s *Site) dispatch(r *request, asked dispatch.Request) decision {
	return decision{choice: r.node.dispatcher.Choose(asked, s.ties.Uint64(), s.clock.Now())}
}

func own(s *Site, r *request) decision { return s.dispatch(r, r.asDispatched()) }

func withoutAffinity(s *Site, r *request) decision {
	asked := r.asDispatched()
	if len(r.prompt) > 0 {
		asked.Prompt = prompt.Prompt{
			{
				ID:     r.prompt[len(r.prompt)-1].ID,
				Tokens: r.prompt.Tokens(),
			},
		}
	}
	return s.dispatch(r, asked)
}

func ownRegion(s *Site, r *request) decision {
	asked := r.asDispatched()
	asked.Exclude = append([]string{}, r.excluded...)
	near := 0
	for _, candidate := range s.table.Load().PoolReplicas(r.pool()) {
		if candidate.Region() != zoneName(r.node.region) {
			asked.Exclude = append(asked.Exclude, candidate.Name())
			continue
		}
		near++
	}
	if near == 0 {
		return own(s, r)
	}
	return s.dispatch(r, asked)
}

func withoutDivision(s *Site, r *request) decision {
	asked := r.asDispatched()
	asked.Gap = 0
	return s.dispatch(r, asked)
}

// boundedLoad keeps the parts of a prompt at one upstream up to a bound above the mean load, as seen without delay.
func boundedLoad(s *Site, r *request) decision {
	const (
		aboveMean = 1.25
		extra     = 3
	)
	candidates := s.candidates(r)
	total := 0
	for _, c := range candidates {
		total += s.load(c)
	}
	bound := aboveMean*float64(total)/float64(max(len(candidates), 1)) + extra
	key := r.prompt.AffinityKey()
	return s.pick(candidates, func(c *replica.Replica) float64 {
		if len(r.prompt) == 0 || float64(s.load(c)) > bound {
			return float64(s.load(c))
		}
		const whole = 1 << 64
		return -float64(rendezvous.Mix(key, c.Hash())) / whole
	})
}

func leastLoaded(s *Site, r *request) decision {
	return s.pick(s.candidates(r), func(c *replica.Replica) float64 { return float64(s.load(c)) })
}

// earlyRefusal refuses what would only be read in vain, and calls its caller back when the queue has shrunk enough.
func earlyRefusal(s *Site, r *request) decision {
	const shortest = time.Second // Retry-After counts in seconds
	d := own(s, r)
	left := r.asked.Add(r.class.Deadline).Sub(s.clock.Now())
	if late := d.choice.Predicted - left; d.choice.Replica != nil && late > 0 {
		return decision{retryAfter: max(late, shortest)}
	}
	return d
}

// oracle compares upstreams by what they really hold; it bounds what better knowledge could bring.
func oracle(s *Site, r *request) decision {
	return s.pick(s.candidates(r), func(c *replica.Replica) float64 {
		u := s.byName[c.Name()]
		distance := float64(s.delay(r.node.region, u.region))
		if u.engine == nil {
			return distance + float64(u.running+len(u.queue))*float64(r.class.ServiceTime)
		}
		uncached := u.engine.Uncached(r.prompt)
		first := dispatch.TimeToFirstToken(uncached+u.engine.Backlog(r.class.Tier), u.engine.Running())
		return distance + float64(first)*max(u.engine.Slowdown, 1) + float64(dispatch.DisplacementCost(uncached))
	})
}

// candidates returns the upstreams that are listed and up.
func (s *Site) candidates(r *request) []*replica.Replica {
	var up []*replica.Replica
	for _, c := range s.table.Load().PoolReplicas(r.pool()) {
		if !s.byName[c.Name()].down {
			up = append(up, c)
		}
	}
	return up
}

// load is the requests at an upstream, without delay.
func (s *Site) load(c *replica.Replica) int {
	u := s.byName[c.Name()]
	if u.engine == nil {
		return u.running + len(u.queue)
	}
	return u.engine.Requests()
}

// pick returns the upstream with the lowest cost.
func (s *Site) pick(candidates []*replica.Replica, cost func(c *replica.Replica) float64) decision {
	var best dispatch.Choice
	lowest := 0.0
	for _, c := range candidates {
		if at := cost(c); best.Replica == nil || at < lowest {
			best.Replica = c
			lowest = at
		}
	}
	return decision{choice: best}
}
