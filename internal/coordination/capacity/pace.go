package capacity

import (
	"cmp"
	"slices"
	"time"
)

// remaining returns how many upstreams are left after the spot upstreams of the zone with the most were lost; count returns
// the number in a group.
func (p *Planner) remaining(count func(s subject, g *group) int) int {
	sum, most := 0, 0
	for s, g := range p.groups {
		n := count(s, g)
		sum += n
		if s.spot {
			most = max(most, n)
		}
	}
	return sum - most
}

// raise plans more upstreams where fewer than the base would remain. Upstreams on demand beyond their reserve do not count,
// since spot upstreams are to replace them. Zones with enough upstreams of a kind keep what they have, even if others have
// fewer: a move costs cached prompts.
func (p *Planner) raise(ideal division, base int) {
	for s, g := range p.groups {
		if !s.spot {
			g.raiseTo(p.Settings.Min, "least number of the zone")
		}
	}
	p.raiseKind(false, ideal, func() bool { return p.total(false) < ideal.onDemandTotal })
	p.raiseKind(true, ideal, func() bool { return !p.suffices(ideal, base) })
}

// suffices reports whether the base remains of the planned upstreams, without those on demand beyond their reserve.
func (p *Planner) suffices(ideal division, base int) bool {
	planned := func(_ subject, g *group) int { return g.planned }
	return p.remaining(planned)-max(p.total(false)-ideal.onDemandTotal, 0) >= base
}

// raiseKind plans more upstreams of a kind, up to the ideal number of each zone, while it is needed. The zone that lacks most
// of its ideal number comes first.
func (p *Planner) raiseKind(spot bool, ideal division, needed func() bool) {
	reason := "on-demand reserve"
	if spot {
		reason = "demand"
	}
	for needed() {
		var best *group
		lowest := 1.0
		for _, zone := range p.zones() {
			g := p.group(zone, spot)
			wanted := ideal.of(subject{
				zone: zone,
				spot: spot,
			})
			if share := float64(g.planned) / float64(max(wanted, 1)); g.planned < wanted && share < lowest && !p.full(zone) {
				best, lowest = g, share
			}
		}
		if best == nil {
			return
		}
		best.raiseTo(best.planned+1, reason)
	}
}

// full reports whether a zone has no room for another upstream. Those that are to leave take room until they do.
func (p *Planner) full(zone string) bool {
	sum := 0
	for _, spot := range []bool{false, true} {
		g := p.group(zone, spot)
		sum += max(g.planned, g.ordered, g.present)
	}
	return sum >= p.Settings.Max
}

func (g *group) raiseTo(n int, reason string) {
	if n > g.planned {
		g.planned, g.reason = n, reason
	}
}

// total returns the planned number of upstreams of a kind.
func (p *Planner) total(spot bool) int {
	sum := 0
	for s, g := range p.groups {
		if s.spot == spot {
			sum += g.planned
		}
	}
	return sum
}

// lower plans fewer upstreams, as long as enough of those that serve now remain.
func (p *Planner) lower(ideal division, now time.Time, input Input) {
	if !p.sees(now, input) {
		return
	}
	largest := 0
	for _, s := range p.bases {
		largest = max(largest, int(s.value))
	}
	p.replace(ideal, largest, now)
	if now.Sub(p.downAt) < downInterval {
		return
	}
	pool := p.total(false) + p.total(true)
	for left := max(int(downShare*float64(pool)), 1); left > 0; left-- {
		if !p.lowerOne(ideal, largest) {
			return
		}
		p.downAt = now
	}
}

// replace gives up upstreams on demand beyond their reserve once spot upstreams serve in their place. Before any request has
// come it gives up all at once, since no request loses its cached prompts; later it goes on in steps.
func (p *Planner) replace(ideal division, base int, now time.Time) {
	left := p.total(false) - ideal.onDemandTotal - spareOnDemand
	if !p.forecast.firstAt.IsZero() {
		if now.Sub(p.replacedAt) < downInterval {
			return
		}
		left = min(left, max(int(replaceShare*float64(p.total(false)+p.total(true))), 1))
	}
	for ; left > 0 && p.lowerIn(false, ideal, base); left-- {
		p.replacedAt = now
	}
}

// sees reports whether enough of the site is seen, and calm enough, to give up upstreams.
func (p *Planner) sees(now time.Time, input Input) bool {
	return now.Sub(p.gained) >= learnTime && input.KnownShare >= minKnownShare &&
		(p.troubleAt.IsZero() || now.Sub(p.troubleAt) >= troubleTime)
}

// lowerOne plans one upstream fewer, on demand rather than spot and of the zone that exceeds its ideal number most, and
// reports whether there is one that is not needed.
func (p *Planner) lowerOne(ideal division, base int) bool {
	if p.total(false) > ideal.onDemandTotal+spareOnDemand && p.lowerIn(false, ideal, base) {
		return true
	}
	return p.lowerIn(true, ideal, base+int(spareShare*float64(base)))
}

func (p *Planner) lowerIn(spot bool, ideal division, base int) bool {
	var candidates []subject
	for s, g := range p.groups {
		if s.spot == spot && g.planned > 0 && (spot || g.planned > p.Settings.Min) {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b subject) int {
		return cmp.Or(cmp.Compare(p.excess(b, ideal), p.excess(a, ideal)), cmp.Compare(a.zone, b.zone))
	})
	for _, s := range candidates {
		g := p.groups[s]
		g.planned--
		serving := func(_ subject, g *group) int { return min(g.serving, g.planned) }
		if p.remaining(serving) >= base && p.suffices(ideal, base) {
			g.reason = "more than needed"
			return true
		}
		g.planned++
	}
	return false
}

// excess returns the planned number of a group in relation to its ideal number.
func (p *Planner) excess(s subject, ideal division) float64 {
	return float64(p.groups[s].planned) / float64(max(ideal.of(s), 1))
}
