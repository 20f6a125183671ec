package dispatch

import (
	"slices"

	"lagoongw/internal/state/rendezvous"
)

// affinity classifies an upstream by whether it is a home of a prompt, that is, to cache its shared parts.
type affinity int

const (
	// nonHome upstreams are not among the homes of the prompt.
	nonHome affinity = iota
	// overflowHome upstreams are the other homes, which take the requests that are too many for the primary home.
	overflowHome
	// primaryHome is the home with the highest score.
	primaryHome
)

// scoredUpstream is an upstream and its rendezvous hash score for the shared parts of a prompt.
type scoredUpstream struct {
	state *upstreamState
	score uint64
}

// rankHomes ranks the upstreams for the shared parts of the prompt by rendezvous hashing, which gives the same order
// at every node. The first maxHomes of them are the homes of the prompt. An upstream that has named a limit is none, since
// most requests with the shared parts would go elsewhere, unless there is no other one.
func (c *selection) rankHomes() {
	if len(c.request.Prompt) == 0 {
		return
	}
	c.homes = make([]scoredUpstream, 0, maxHomes+1)
	if c.insertHomes(false); len(c.homes) == 0 {
		c.insertHomes(true)
	}
}

// insertHomes inserts the homes among the eligible upstreams, counting them; limited includes those that have named a limit.
func (c *selection) insertHomes(limited bool) {
	c.candidates = 0
	key := c.request.Prompt.AffinityKey()
	for _, s := range c.view.states {
		if !c.eligible(s) {
			continue
		}
		c.candidates++
		if c.reservedForOthers(s) || !limited && c.limit(s) > 0 {
			continue
		}
		c.insertHome(s, rendezvous.Mix(key, s.replica.Hash()))
	}
}

// insertHome adds an upstream to the homes if its score is among the maxHomes highest.
func (c *selection) insertHome(s *upstreamState, score uint64) {
	if len(c.homes) == maxHomes && score <= c.homes[maxHomes-1].score {
		return
	}
	at := len(c.homes)
	for at > 0 && score > c.homes[at-1].score {
		at--
	}
	c.homes = slices.Insert(c.homes, at, scoredUpstream{
		state: s,
		score: score,
	})
	c.homes = c.homes[:min(len(c.homes), maxHomes)]
}

// affinity returns the affinity of an upstream for the prompt.
func (c *selection) affinity(s *upstreamState) affinity {
	for i, candidate := range c.homes {
		if candidate.state == s && i == 0 {
			return primaryHome
		}
		if candidate.state == s {
			return overflowHome
		}
	}
	return nonHome
}
