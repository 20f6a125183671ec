package calibration

import (
	"math"
	"time"
)

// GroupCount is the number of groups of observations of each kind. Each group holds similar sizes: numbers of running
// requests for the steps, numbers of prefilled tokens for the first events.
const GroupCount = 8

// Buckets of the lengths of pauses: bucket i holds pauses below shortestPause times pauseBucketRatio to the power of i,
// the last one all longer ones.
const (
	PauseBuckets     = 24
	shortestPause    = 20 * time.Millisecond
	pauseBucketRatio = 1.2
)

// Group is a weighted sum over observations of similar sizes.
type Group struct {
	Weight float64
	// SizeSum is the sum of the sizes, and LogSum that of the logarithms of the times in nanoseconds.
	SizeSum float64
	LogSum  float64
}

func newGroup(size float64, took time.Duration, weight float64) Group {
	return Group{
		Weight:  weight,
		SizeSum: weight * size,
		LogSum:  weight * math.Log(float64(max(took, 1))),
	}
}

// plus returns the sum of a group and sign times another one, or an empty group if the weight would not be positive.
func (g Group) plus(other Group, sign float64) Group {
	g.Weight += sign * other.Weight
	g.SizeSum += sign * other.SizeSum
	g.LogSum += sign * other.LogSum
	if g.Weight <= 0 {
		return Group{}
	}
	return g
}

// Evidence is what one node has observed of the engines of a pool, or the sum over several nodes.
type Evidence struct {
	// Steps holds the times of decode steps by the number of running requests, and Firsts the times to first events by
	// the number of prefilled tokens.
	Steps  [GroupCount]Group
	Firsts [GroupCount]Group
	// Pauses counts the pauses between events by length. Older ones count less.
	Pauses [PauseBuckets]float64
}

// Plus returns the sum of the evidence and sign times other evidence. Sums of different times may not match, so weights
// and counts are at least zero.
func (e Evidence) Plus(other Evidence, sign float64) Evidence {
	for i := range GroupCount {
		e.Steps[i] = e.Steps[i].plus(other.Steps[i], sign)
		e.Firsts[i] = e.Firsts[i].plus(other.Firsts[i], sign)
	}
	for i, count := range other.Pauses {
		e.Pauses[i] = max(e.Pauses[i]+sign*count, 0)
	}
	return e
}

// The profile that is assumed without evidence, between the makes of engines that are in use. It counts as priorWeight
// observations.
const (
	priorWeight         = 1
	priorStart          = 80 * time.Millisecond
	priorPerToken       = 20 * time.Microsecond
	priorStep           = 6 * time.Millisecond
	priorStepPerRequest = 60 * time.Microsecond
)

// Bounds of the figures of a profile.
const (
	minStart    = time.Millisecond
	minPerToken = time.Microsecond
	maxPerToken = time.Millisecond
	minStep     = 500 * time.Microsecond
)

// Profile returns the profile that the evidence and the prior speak for.
func (e Evidence) Profile() Profile {
	step, stepPerRequest := fit(e.Steps[:], priorStep, priorStepPerRequest)
	step = max(step, minStep)
	decode := NewProfile(0, 0, step, stepPerRequest)
	// A prompt also waits for the decode steps between its chunks.
	stretch := decode.stretch(decode.Step(e.meanRunning()))
	start, perToken := fit(e.Firsts[:], priorStart, time.Duration(stretch*float64(priorPerToken)))
	perToken = time.Duration(float64(perToken) / stretch)
	return NewProfile(max(start, minStart), min(max(perToken, minPerToken), maxPerToken), step, stepPerRequest)
}

// meanRunning returns the mean number of requests that ran at the engines when pauses were observed.
func (e Evidence) meanRunning() int {
	var sum Group
	for _, g := range e.Steps {
		sum = sum.plus(g, 1)
	}
	return int(sum.SizeSum / max(sum.Weight, 1))
}

// fit returns a time as a linear function of a size: the line through the mean points of the groups, averaged with the
// prior by weight. A relative error counts the same at every size. The base and the slope are at least zero.
func fit(groups []Group, priorBase, priorSlope time.Duration) (base, slope time.Duration) {
	var total, w, x, y, xx, xy float64
	for _, g := range groups {
		if g.Weight <= 0 {
			continue
		}
		size, took := g.SizeSum/g.Weight, math.Exp(g.LogSum/g.Weight)
		weight := g.Weight / (took * took)
		total += g.Weight
		w += weight
		x += weight * size
		y += weight * took
		xx += weight * size * size
		xy += weight * size * took
	}
	if total == 0 {
		return priorBase, priorSlope
	}
	if spread := w*xx - x*x; spread > minRelativeSpread*w*xx {
		gradient := (w*xy - x*y) / spread
		intercept := (y - gradient*x) / w
		if intercept < 0 {
			intercept, gradient = 0, xy/xx
		}
		if gradient*maxSlopeRatio >= float64(priorSlope) {
			return average(intercept, priorBase, total), average(gradient, priorSlope, total)
		}
	}
	// The sizes differ too little, or larger ones don't take longer: the prior's line is scaled to the observations.
	scale := y / (w*float64(priorBase) + x*float64(priorSlope))
	return average(scale*float64(priorBase), priorBase, total), average(scale*float64(priorSlope), priorSlope, total)
}

// maxSlopeRatio is the largest ratio between an assumed slope and an observed one that is believed.
const maxSlopeRatio = 8

// minRelativeSpread is the least variance of the sizes, relative to their mean square, from which a slope is derived.
const minRelativeSpread = 0.05

// maxPriorRatio is the largest ratio between an assumed and an observed time.
const maxPriorRatio = 100

// average returns the geometric mean of an observed and an assumed time by their weights.
func average(observed float64, assumed time.Duration, weight float64) time.Duration {
	observed = max(observed, float64(assumed)/maxPriorRatio)
	mean := (weight*math.Log(observed) + priorWeight*math.Log(float64(assumed))) / (weight + priorWeight)
	return time.Duration(math.Exp(mean))
}

// minPauses is the number of pauses below which PauseShare is not known.
const minPauses = 200

// PauseShare returns the share of the pauses that are longer than one limit and at most another; known is false if there
// were too few pauses.
func (e Evidence) PauseShare(above, upTo time.Duration) (share float64, known bool) {
	total, between := 0.0, 0.0
	for i, count := range e.Pauses {
		total += count
		between += count * (shareAbove(i, above) - shareAbove(i, upTo))
	}
	if total < minPauses {
		return 0, false
	}
	return between / total, true
}

// shareAbove returns the share of a bucket that lies above a limit.
func shareAbove(bucket int, limit time.Duration) float64 {
	return min(max(float64(bucket)+1-pausePosition(limit), 0), 1)
}

// pausePosition returns the place of a pause among the buckets: the integer part is the bucket.
func pausePosition(pause time.Duration) float64 {
	if pause <= 0 {
		return 0
	}
	position := math.Log(float64(pause)/float64(shortestPause))/math.Log(pauseBucketRatio) + 1
	return min(max(position, 0), PauseBuckets-1)
}
