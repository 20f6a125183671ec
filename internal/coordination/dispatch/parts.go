package dispatch

import (
	"time"

	"lagoongw/internal/state/prompt"
)

// partLifetime is how long an engine is expected to cache a prompt part that is not used again.
const partLifetime = 30 * time.Second

// partIndex records which upstreams were sent which prompt parts, as an estimate of what they have in the cache.
type partIndex struct {
	// sentAt is the time of the last send, by part ID and upstream.
	sentAt    map[uint64]map[*upstreamState]time.Time
	lastSweep time.Time
}

// add records that an upstream was sent a prompt.
func (p *partIndex) add(to *upstreamState, sent prompt.Prompt, now time.Time) {
	if p.sentAt == nil {
		p.sentAt = map[uint64]map[*upstreamState]time.Time{}
	}
	for _, part := range sent {
		if p.sentAt[part.ID] == nil {
			p.sentAt[part.ID] = map[*upstreamState]time.Time{}
		}
		p.sentAt[part.ID][to] = now
	}
	p.sweep(now)
}

// sweep removes expired parts, once every partLifetime.
func (p *partIndex) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < partLifetime {
		return
	}
	p.lastSweep = now
	for id, holders := range p.sentAt {
		for holder, at := range holders {
			if now.Sub(at) >= partLifetime {
				delete(holders, holder)
			}
		}
		if len(holders) == 0 {
			delete(p.sentAt, id)
		}
	}
}

// removeUpstream removes an upstream that is no longer in the table.
func (p *partIndex) removeUpstream(gone *upstreamState) {
	for _, holders := range p.sentAt {
		delete(holders, gone)
	}
}

// holds reports whether an upstream is expected to have a part in the cache.
func (p *partIndex) holds(s *upstreamState, part prompt.Part, now time.Time) bool {
	at, known := p.sentAt[part.ID][s]
	return known && now.Sub(at) < partLifetime
}

// uncached returns the number of prompt tokens that an upstream has to prefill: the first part that is not in the
// cache and everything after it. At the primary home of the prompt the shared parts count as cached, since other nodes
// send them there; assumed reports that this made a difference.
func (p *partIndex) uncached(
	s *upstreamState, requested prompt.Prompt, atPrimaryHome bool, now time.Time,
) (tokens int, assumed bool) {
	for i, part := range requested {
		if p.holds(s, part, now) {
			continue
		}
		if !atPrimaryHome || i == len(requested)-1 {
			return requested[i:].Tokens(), assumed
		}
		assumed = true
	}
	return 0, assumed
}

// holders returns the upstreams that were sent the first part of a prompt; all others have to prefill the whole
// prompt.
func (p *partIndex) holders(requested prompt.Prompt) map[*upstreamState]time.Time {
	if len(requested) == 0 {
		return nil
	}
	return p.sentAt[requested[0].ID]
}
