package dispatch

import (
	"time"

	"lagoongw/internal/state/prompt"
)

const (
	// partLifetime is how long an engine is expected to cache a prompt part that is not used again.
	partLifetime = 30 * time.Second
	// MaxPartRecords limits the records of a part at an upstream. Beyond it the parts that were not used for longest are
	// forgotten before partLifetime.
	MaxPartRecords = 8 << 10
)

// partIndex records which upstreams were sent which prompt parts, as an estimate of what they have in the cache. The
// parts are in two generations: those in use move to the newer one, and the older one is forgotten when the newer one
// is full.
type partIndex struct {
	// sentAt is the time of the last send, by part ID and upstream; older holds the parts not sent since it was replaced.
	sentAt, older map[uint64]map[*upstreamState]time.Time
	// records is the number of times in sentAt.
	records   int
	lastSweep time.Time
}

// add records that an upstream was sent a prompt.
func (p *partIndex) add(to *upstreamState, sent prompt.Prompt, now time.Time) {
	for _, part := range sent {
		if p.sentAt == nil || p.records >= MaxPartRecords/2 {
			p.older, p.sentAt, p.records = p.sentAt, map[uint64]map[*upstreamState]time.Time{}, 0
		}
		holders := p.renew(part.ID)
		if _, known := holders[to]; !known {
			p.records++
		}
		holders[to] = now
	}
	p.sweep(now)
}

// renew returns the holders of a part, in the newer generation.
func (p *partIndex) renew(id uint64) map[*upstreamState]time.Time {
	if holders := p.sentAt[id]; holders != nil {
		return holders
	}
	holders := p.older[id]
	if holders == nil {
		holders = map[*upstreamState]time.Time{}
	}
	delete(p.older, id)
	p.sentAt[id] = holders
	p.records += len(holders)
	return holders
}

// sentTo returns the time of the last send of a part by upstream.
func (p *partIndex) sentTo(id uint64) map[*upstreamState]time.Time {
	if holders := p.sentAt[id]; holders != nil {
		return holders
	}
	return p.older[id]
}

// sweep removes expired parts, once every partLifetime.
func (p *partIndex) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < partLifetime {
		return
	}
	p.lastSweep = now
	sweepParts(p.older, now)
	p.records = sweepParts(p.sentAt, now)
}

// sweepParts removes expired parts of one generation, and returns the number of records that are left.
func sweepParts(sentAt map[uint64]map[*upstreamState]time.Time, now time.Time) (records int) {
	for id, holders := range sentAt {
		for holder, at := range holders {
			if now.Sub(at) >= partLifetime {
				delete(holders, holder)
			}
		}
		if len(holders) == 0 {
			delete(sentAt, id)
		}
		records += len(holders)
	}
	return records
}

// removeUpstream removes an upstream that is no longer in the table.
func (p *partIndex) removeUpstream(gone *upstreamState) {
	for _, holders := range p.older {
		delete(holders, gone)
	}
	p.records = 0
	for _, holders := range p.sentAt {
		delete(holders, gone)
		p.records += len(holders)
	}
}

// holds reports whether an upstream is expected to have a part in the cache.
func (p *partIndex) holds(s *upstreamState, part prompt.Part, now time.Time) bool {
	at, known := p.sentTo(part.ID)[s]
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
	return p.sentTo(requested[0].ID)
}
