package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"lagoongw/internal/state/route"
)

// The prefill of a long prompt delays every response that the engine generates at the same time. Responses that need
// shorter pauses get engines of their own, in proportion to their share of the demand.
const (
	// ownPrefillShare is the share of its target gap that the prefill of a prompt may take if it is to share engines with
	// other streams that need short pauses.
	ownPrefillShare = 1.0 / 3
	// bulkPrefillShare is the share of its time that an engine may spend on prefill for bulk requests, and
	// minInteractiveShare the least part of it for interactive ones; see docs/MODEL.md.
	bulkPrefillShare    = 0.5
	minInteractiveShare = 0.4
	// maxSlotShare is the share of the slots of an engine that interactive requests are to take on average.
	maxSlotShare = 0.5
	// demandHalfLife is the half-life of the decaying sum of engine time.
	demandHalfLife = 10 * time.Second
	// splitHysteresis is the share of the pool by which the split may be off before it is changed. Each change moves
	// the homes of prompts.
	splitHysteresis = 0.06
	// growHysteresis and shrinkHysteresis are the least numbers of engines by which the split must be off. Too few engines
	// delay interactive requests at once; too many only cost the others some cached prompts.
	growHysteresis   = 0.05
	shrinkHysteresis = 1.5
	// maxBulkWait is how long prompts may wait on average at the engines for bulk requests of a small pool before one is
	// taken from the interactive requests, and giveWayTime how long it is not given back.
	maxBulkWait = 400 * time.Millisecond
	giveWayTime = 10 * time.Second
	// minProportionalPool is the size of a pool from which an engine more or less matters little.
	minProportionalPool = 24
	// minEnginesForTwo is the size of a pool from which at least two engines are reserved, so that interactive requests
	// keep one if the other fails, unless the others are needed for bulk requests.
	minEnginesForTwo = 6
	// splitInterval is the time between checks of the split. minObservation is the shortest observation that a demand
	// is derived from.
	splitInterval  = time.Second
	minObservation = time.Second
	// tightDelay is the time within which every node knows the demand of all, after a kind of request has become tight.
	tightDelay = 1500 * time.Millisecond
	// maxDirectNodes is the largest number of nodes that send their digests to each other directly; those of larger sites
	// pass through two relays.
	maxDirectNodes = 16
	// siteObservation is the time from a node's first request until it knows the demand of the nodes that started with it:
	// these derive theirs from minObservation, and tell it within tightDelay.
	siteObservation = minObservation + tightDelay
)

// kindOf returns the target gap of a request that may share engines with other streams that need short pauses, or zero
// for all others: those without a target, and those whose prompt takes too long to prefill.
func (p *pace) kindOf(request Request, engine *route.Engine) time.Duration {
	if engine == nil || request.Gap <= 0 || len(request.Prompt) == 0 {
		return 0
	}
	if float64(p.profile.Prefill(request.Prompt.Tokens())) > ownPrefillShare*float64(request.Gap) {
		return 0
	}
	return request.Gap
}

// isInteractive reports whether the request has a short prompt and needs shorter pauses between events than engines that
// prefill long prompts can keep. It follows the demand that the nodes tell each other by tightDelay, so that there are
// enough engines for all such requests from the first one on.
func (p *pace) isInteractive(request Request, engine *route.Engine, now time.Time) bool {
	gap := p.kindOf(request, engine)
	if gap == 0 {
		return false
	}
	streams := p.streamsWith(gap)
	return streams.tight && now.Sub(streams.tightSince) >= tightDelay
}

// split divides the engines of a pool between interactive and bulk requests by the demand of each.
type split struct {
	// work is what this node's requests ask of engines, by kind of request (see kindOf). It is decayed by age, since the
	// first request at firstAt, to decayedAt.
	work      map[time.Duration]engineWork
	decayedAt time.Time
	firstAt   time.Time
	// checkedAt is when interactiveEngines was last checked against the demand.
	checkedAt time.Time
	// interactiveEngines is how many engines are reserved for interactive requests, 0 if the pool is not split.
	interactiveEngines int
	// gaveWayAt is when an engine was last taken from interactive requests because prompts waited too long.
	gaveWayAt time.Time
}

// engineWork is a number of requests and the time in seconds that engines need to prefill their prompts.
type engineWork struct {
	requests float64
	prefill  float64
}

// record adds the prefill of a request of a kind.
func (s *split) record(kind, prefill time.Duration, now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt, s.decayedAt = now, now
		s.work = map[time.Duration]engineWork{}
	}
	s.decay(now)
	work := s.work[kind]
	work.requests++
	work.prefill += prefill.Seconds()
	s.work[kind] = work
}

// decay ages the sums to the current time.
func (s *split) decay(now time.Time) {
	decay := math.Exp2(-now.Sub(s.decayedAt).Seconds() / demandHalfLife.Seconds())
	s.decayedAt = now
	for kind, work := range s.work {
		work.requests *= decay
		work.prefill *= decay
		s.work[kind] = work
	}
}

// demand returns how many engines this node's requests need, zero until minObservation has passed. interactive returns
// the capacity of an engine for interactive requests of a kind, and false for other kinds.
func (s *split) demand(interactive func(kind time.Duration) (capacity, bool), now time.Time) (demand EngineDemand) {
	if now.Sub(s.firstAt) < minObservation {
		return EngineDemand{}
	}
	s.decay(now)
	// The decayed sum of a steady rate converges to the rate times the mean lifetime. Since the first request, it has
	// reached the rate times observedTime.
	meanLife := demandHalfLife.Seconds() / math.Ln2
	observedTime := meanLife * (1 - math.Exp2(-now.Sub(s.firstAt).Seconds()/demandHalfLife.Seconds()))
	for _, kind := range slices.Sorted(maps.Keys(s.work)) {
		work := s.work[kind]
		if engine, yes := interactive(kind); yes {
			demand.Interactive += max(work.prefill/engine.prefillShare, work.requests/engine.streamsPerSecond) / observedTime
		} else {
			demand.Bulk += work.prefill / observedTime / bulkPrefillShare
		}
	}
	return demand
}

// capacity is how much work of one kind of request an engine can do.
type capacity struct {
	// prefillShare is the share of its time that it may spend on prefill.
	prefillShare float64
	// streamsPerSecond is the number of streams that it can generate.
	streamsPerSecond float64
}

// giveWay takes an engine from the interactive requests of a small pool if prompts wait too long at the others, and
// reports whether it is too early to give any back. In a small pool a whole engine is a large part of the capacity; large
// pools are divided in proportion.
func (s *split) giveWay(bulkWait time.Duration, engines int) bool {
	if engines >= minProportionalPool {
		return false
	}
	if bulkWait > maxBulkWait {
		s.interactiveEngines = max(s.interactiveEngines-1, 0)
		s.gaveWayAt = s.decayedAt
	}
	return !s.gaveWayAt.IsZero() && s.decayedAt.Sub(s.gaveWayAt) < giveWayTime
}

// resize sets how many engines are reserved for interactive requests, by the demand of all nodes: as many as these
// requests need, or a proportional share if there are too few engines for both kinds.
func (s *split) resize(demand EngineDemand, engines int, bulkWait time.Duration) {
	if demand.Interactive == 0 || demand.Bulk == 0 || engines < 2 || s.decayedAt.Sub(s.firstAt) < minObservation {
		s.interactiveEngines = 0
		return
	}
	if s.giveWay(bulkWait, engines) {
		return
	}
	wanted, round := demand.Interactive, math.Ceil
	if total := demand.Interactive + demand.Bulk; total > float64(engines) {
		wanted *= float64(engines) / total
		round = math.Floor // the rest of an engine helps neither kind enough
	}
	current, hysteresis := float64(s.interactiveEngines), splitHysteresis*float64(engines)
	if current == 0 || wanted > current+max(growHysteresis, hysteresis) || wanted < current-max(shrinkHysteresis, hysteresis) {
		s.interactiveEngines = int(round(wanted))
	}
	least := 1
	if engines >= minEnginesForTwo && demand.Bulk+2 <= float64(engines) {
		least = 2
	}
	s.interactiveEngines = min(max(s.interactiveEngines, least), engines-1)
}
