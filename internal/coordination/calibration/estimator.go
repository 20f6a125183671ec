package calibration

import (
	"math"
	"time"

	"lagoongw/internal/coordination/estimate"
)

const (
	// pauseHalfLife is the half-life of the counts of pauses.
	pauseHalfLife = 15 * time.Second
	// stepQuantile and firstQuantile select, among the observed times, those that are least prolonged by work that this
	// node does not know of.
	stepQuantile  = 0.4
	firstQuantile = 0.5
	// maxGroupWeight limits the weight of one node's observations, so that a node with many does not outvote the others.
	maxGroupWeight = 100
	// minFirstTokens is the prompt length up to which all prompts are in one group.
	minFirstTokens = 250
)

// observations holds the times that were observed for similar sizes.
type observations struct {
	times   estimate.Histogram
	sizeSum float64
	count   float64
}

func (o *observations) add(size int, took time.Duration) {
	o.times.Observe(float64(took.Microseconds()))
	o.sizeSum += float64(size)
	o.count++
}

// group returns the observations as if each had taken the time at the quantile.
func (o *observations) group(quantile float64) Group {
	if o.count == 0 {
		return Group{}
	}
	took := time.Duration(o.times.Quantile(quantile) * float64(time.Microsecond))
	return newGroup(o.sizeSum/o.count, took, min(o.count, maxGroupWeight))
}

// Estimator collects what one node observes of the engines of a pool. It is not safe for concurrent use.
type Estimator struct {
	// steps is grouped by the number of running requests, firsts by the number of prefilled tokens; both by doublings.
	steps  [GroupCount]observations
	firsts [GroupCount]observations
	// pauses holds the counts of pauses, decayed to pausesAt.
	pauses   [PauseBuckets]float64
	pausesAt time.Time
}

// ObservePause records a pause between two events of a stream at an engine at which no prompt was known to wait.
// eventTokens is the number of tokens in an event, and running the number of requests past their first event.
func (e *Estimator) ObservePause(pause time.Duration, eventTokens, running int) {
	if pause > 0 {
		e.steps[doublings(running, 1)].add(running, pause/time.Duration(max(eventTokens, 1)))
	}
}

// ObserveFirstEvent records the time from sending a prompt to its first event at an engine at which no other prompt was
// known to wait. tokens is the number of tokens that had to be prefilled.
func (e *Estimator) ObserveFirstEvent(took time.Duration, tokens int) {
	if took > 0 && tokens > 0 {
		e.firsts[doublings(tokens, minFirstTokens)].add(tokens, took)
	}
}

// CountPause counts a pause between two events at an engine that may prefill any prompt meanwhile.
func (e *Estimator) CountPause(pause time.Duration, now time.Time) {
	e.decayPauses(now)
	e.pauses[int(pausePosition(pause))]++
}

func (e *Estimator) decayPauses(now time.Time) {
	if age := now.Sub(e.pausesAt); age > 0 {
		decay := math.Exp2(-age.Seconds() / pauseHalfLife.Seconds())
		for i := range e.pauses {
			e.pauses[i] *= decay
		}
	}
	e.pausesAt = now
}

// doublings returns the group of a size: 0 up to unit, 1 up to twice the unit, and so on.
func doublings(size, unit int) int {
	index := 0
	for limit := unit; size > limit && index < GroupCount-1; limit *= 2 {
		index++
	}
	return index
}

// Evidence returns what this node has observed.
func (e *Estimator) Evidence(now time.Time) Evidence {
	e.decayPauses(now)
	evidence := Evidence{Pauses: e.pauses}
	for i := range GroupCount {
		evidence.Steps[i] = e.steps[i].group(stepQuantile)
		evidence.Firsts[i] = e.firsts[i].group(firstQuantile)
	}
	return evidence
}
