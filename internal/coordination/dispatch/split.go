package dispatch

import (
	"math"
	"time"

	"lagoongw/internal/state/route"
)

// The reading of a long prompt delays every answer that the engine generates meanwhile. Answers whose pauses have to be
// shorter than that get engines of their own, as many as their part of the work asks for.
const (
	// busyStep is the time of a step while an engine reads prompts, as measured on the bench: a chunk, the step itself, and
	// the starts of prompts.
	busyStep = 32 * time.Millisecond
	// tightness is how much longer than usual the slowest tenth of events takes at such an engine.
	tightness = 1.25
	// shortPrompt is the longest prompt, in tokens, that disturbs others as little as its own answer does: a few chunks.
	shortPrompt = 4 * chunkTokens
	// interactiveReading and bulkReading are the shares of its time that an engine may spend on reading for each kind;
	// compared in docs/MODEL.md.
	interactiveReading = 0.2
	bulkReading        = 0.5
	// workHalfLife is how long it takes until work counts half.
	workHalfLife = 10 * time.Second
	// splitSlack is by how much of the pool the split may be off before it moves, so that homes stay where they are.
	splitSlack = 0.06
	// splitEvery is how often the division is looked at, leastSeen the least time for which work is taken to stand.
	splitEvery = time.Second
	leastSeen  = time.Second
)

// isInteractive reports whether an answer's pauses have to be shorter than an engine that reads long prompts can keep.
func isInteractive(request Request, engine *route.Engine) bool {
	if engine == nil || request.Gap <= 0 || len(request.Prompt) == 0 {
		return false
	}
	busyPause := time.Duration(tightness * float64(engine.EventTokens) * float64(busyStep))
	return request.Gap < busyPause && request.Prompt.Tokens() <= shortPrompt
}

// split divides the engines of a pool between interactive and bulk requests by the work of each.
type split struct {
	// sum is the work of this node, older work counting less, from its first request on.
	sum     EngineDemand
	at      time.Time
	since   time.Time
	checked time.Time
	// engines is how many engines are for interactive requests, 0 while there is no division.
	engines int
}

// note adds the work of a request.
func (s *split) note(interactive bool, work float64, now time.Time) {
	if s.since.IsZero() {
		s.since, s.at = now, now
	}
	s.decay(now)
	if interactive {
		s.sum.Interactive += work
	} else {
		s.sum.Bulk += work
	}
}

func (s *split) decay(now time.Time) {
	decay := math.Exp2(-now.Sub(s.at).Seconds() / workHalfLife.Seconds())
	s.at = now
	s.sum.Interactive *= decay
	s.sum.Bulk *= decay
}

// rate returns how many engines this node's requests need.
func (s *split) rate(now time.Time) EngineDemand {
	if now.Sub(s.since) < leastSeen {
		return EngineDemand{}
	}
	s.decay(now)
	// A steady rate adds up to its product with the mean life of work, of which the time since the first request has seen a part.
	meanLife := workHalfLife.Seconds() / math.Ln2
	seen := meanLife * (1 - math.Exp2(-now.Sub(s.since).Seconds()/workHalfLife.Seconds()))
	return EngineDemand{
		Interactive: s.sum.Interactive / seen,
		Bulk:        s.sum.Bulk / seen,
	}
}

// divide sets how many of the engines are for interactive requests, by what all nodes need: as many as these need, or their
// part when there are too few for both.
func (s *split) divide(need EngineDemand, engines int) {
	if need.Interactive == 0 || need.Bulk == 0 || engines < 2 || s.at.Sub(s.since) < leastSeen {
		s.engines = 0
		return
	}
	wanted := need.Interactive
	if total := need.Interactive + need.Bulk; total > float64(engines) {
		wanted *= float64(engines) / total
	}
	if s.engines == 0 || math.Abs(wanted-float64(s.engines)) > max(1, splitSlack*float64(engines)) {
		s.engines = int(math.Ceil(wanted))
	}
	s.engines = min(max(s.engines, 1), engines-1)
}

// workOf is how many seconds of an engine the reading of a prompt needs, at the share of time that its kind may take.
func workOf(interactive bool, uncached int) float64 {
	read := float64(uncached+startTokens) / readPerMillisecond / 1000
	if interactive {
		return read / interactiveReading
	}
	return read / bulkReading
}
