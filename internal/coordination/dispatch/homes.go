package dispatch

import (
	"slices"

	"lagoongw/internal/state/rendezvous"
)

// affinity is how an upstream stands to the shared parts of a prompt.
type affinity int

const (
	stray affinity = iota
	overflow
	home
)

// ranked is an upstream's place for the shared parts of a prompt.
type ranked struct {
	state *state
	score uint64
}

// rankHomes ranks the upstreams at which the shared parts of a prompt are kept together, the same at every node: the first
// serves them, the next ones take what is too much for it.
func (c *choosing) rankHomes() {
	if len(c.request.Prompt) == 0 {
		return
	}
	c.ranked = make([]ranked, 0, homes+1)
	key := c.request.Prompt.AffinityKey()
	for _, s := range c.view.states {
		if !c.open(s) {
			continue
		}
		c.candidates++
		if c.reservedForOthers(s) {
			continue
		}
		c.rank(s, rendezvous.Mix(key, s.replica.Hash()))
	}
}

// rank takes an upstream among the homes if it is one of the highest.
func (c *choosing) rank(s *state, score uint64) {
	if len(c.ranked) == homes && score <= c.ranked[homes-1].score {
		return
	}
	at := len(c.ranked)
	for at > 0 && score > c.ranked[at-1].score {
		at--
	}
	c.ranked = slices.Insert(c.ranked, at, ranked{
		state: s,
		score: score,
	})
	c.ranked = c.ranked[:min(len(c.ranked), homes)]
}

func (c *choosing) affinity(s *state) affinity {
	for i, known := range c.ranked {
		if known.state == s && i == 0 {
			return home
		}
		if known.state == s {
			return overflow
		}
	}
	return stray
}
