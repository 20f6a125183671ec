package dispatch

import (
	"math"
	"time"

	"lagoongw/internal/state/route"
)

// The prefill of a long prompt delays every response that the engine generates at the same time. Responses that need
// shorter pauses get engines of their own, in proportion to their share of the demand.
const (
	// busyStepTime is the time of a decode step while an engine prefills prompts: one prefill chunk, the step itself,
	// and the starts of prompts.
	busyStepTime = 32 * time.Millisecond
	// slowEventFactor is the ratio of the slowest tenth of the pauses between events to the usual pause at an engine
	// that prefills prompts.
	slowEventFactor = 1.25
	// maxInteractivePromptTokens is the longest prompt whose prefill delays other requests no more than the
	// generation of its response does: a few chunks.
	maxInteractivePromptTokens = 4 * chunkTokens
	// interactivePrefillShare and bulkPrefillShare are the shares of its time that an engine may spend on prefill for
	// each kind of request; see docs/MODEL.md.
	interactivePrefillShare = 0.2
	bulkPrefillShare        = 0.5
	// demandHalfLife is the half-life of the decaying sum of engine time.
	demandHalfLife = 10 * time.Second
	// splitHysteresis is the share of the pool by which the split may be off before it is changed. Each change moves
	// the homes of prompts.
	splitHysteresis = 0.06
	// splitInterval is the time between checks of the split. minObservation is the shortest observation that a demand
	// is derived from.
	splitInterval  = time.Second
	minObservation = time.Second
)

// isInteractive reports whether the request has a short prompt and needs shorter pauses between events than an engine
// that prefills long prompts can keep.
func isInteractive(request Request, engine *route.Engine) bool {
	if engine == nil || request.Gap <= 0 || len(request.Prompt) == 0 {
		return false
	}
	busyPause := time.Duration(slowEventFactor * float64(engine.EventTokens) * float64(busyStepTime))
	return request.Gap < busyPause && request.Prompt.Tokens() <= maxInteractivePromptTokens
}

// split divides the engines of a pool between interactive and bulk requests by the demand of each.
type split struct {
	// decayedSum is the engine time in seconds that this node's requests needed, decayed by age, since its first
	// request at firstAt. decayedAt is the time to which it is decayed.
	decayedSum EngineDemand
	decayedAt  time.Time
	firstAt    time.Time
	// checkedAt is when interactiveEngines was last checked against the demand.
	checkedAt time.Time
	// interactiveEngines is how many engines are reserved for interactive requests, 0 if the pool is not split.
	interactiveEngines int
}

// record adds the engine time of a request.
func (s *split) record(interactive bool, engineSeconds float64, now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt, s.decayedAt = now, now
	}
	s.decay(now)
	if interactive {
		s.decayedSum.Interactive += engineSeconds
	} else {
		s.decayedSum.Bulk += engineSeconds
	}
}

// decay ages the sum to the current time.
func (s *split) decay(now time.Time) {
	decay := math.Exp2(-now.Sub(s.decayedAt).Seconds() / demandHalfLife.Seconds())
	s.decayedAt = now
	s.decayedSum.Interactive *= decay
	s.decayedSum.Bulk *= decay
}

// demand returns how many engines this node's requests need, zero until minObservation has passed.
func (s *split) demand(now time.Time) EngineDemand {
	if now.Sub(s.firstAt) < minObservation {
		return EngineDemand{}
	}
	s.decay(now)
	// The decayed sum of a steady rate converges to the rate times the mean lifetime. Since the first request, it has
	// reached the rate times observedTime.
	meanLife := demandHalfLife.Seconds() / math.Ln2
	observedTime := meanLife * (1 - math.Exp2(-now.Sub(s.firstAt).Seconds()/demandHalfLife.Seconds()))
	return EngineDemand{
		Interactive: s.decayedSum.Interactive / observedTime,
		Bulk:        s.decayedSum.Bulk / observedTime,
	}
}

// resize sets how many engines are reserved for interactive requests, by the demand of all nodes: as many as these
// requests need, or a proportional share if there are too few engines for both kinds.
func (s *split) resize(demand EngineDemand, engines int) {
	if demand.Interactive == 0 || demand.Bulk == 0 || engines < 2 || s.decayedAt.Sub(s.firstAt) < minObservation {
		s.interactiveEngines = 0
		return
	}
	wanted := demand.Interactive
	if total := demand.Interactive + demand.Bulk; total > float64(engines) {
		wanted *= float64(engines) / total
	}
	if s.interactiveEngines == 0 ||
		math.Abs(wanted-float64(s.interactiveEngines)) > max(1, splitHysteresis*float64(engines)) {
		s.interactiveEngines = int(math.Ceil(wanted))
	}
	s.interactiveEngines = min(max(s.interactiveEngines, 1), engines-1)
}

// engineSeconds returns the engine time that a request needs, in seconds: the prefill time divided by the share of
// its time that an engine may spend on prefill for this kind of request.
func engineSeconds(interactive bool, uncached int) float64 {
	prefill := float64(uncached+prefillStartTokens) / prefillTokensPerMillisecond / 1000
	if interactive {
		return prefill / interactivePrefillShare
	}
	return prefill / bulkPrefillShare
}
