package capacity

import (
	"math"
	"time"
)

const (
	// trendTime is the time over which the trend of the demand is fitted, and minTrend the least part of it that must have
	// been seen. largestTime is how long the largest demand is kept.
	trendTime   = 6 * time.Second
	minTrend    = 4 * time.Second
	largestTime = 15 * time.Second
	// startTime is the time after the first demand that the trend leaves out: the nodes report their first demand one
	// after the other, which looks like a steep rise.
	startTime = 3 * time.Second
	// maxRise limits the predicted demand to a multiple of the demand seen, so that a step is not taken for the first
	// part of an endless rise.
	maxRise = 2.5
	// maxRefusalFactor limits what is added for refused requests, since refused callers come back and are counted again.
	maxRefusalFactor = 2
	// memoryShare is the share of the engines' memory that prompts in flight may take. The rest is for what they generate and
	// for cached prompt parts.
	memoryShare = 0.75
	// digestUtilization is the utilization that the demand in the digests includes; see dispatch.EngineDemand.
	digestUtilization = 0.5
	// usualBacklog is the time that prompts usually wait at an upstream, and backlogTime the time within which more than
	// that is to be worked off.
	usualBacklog = 400 * time.Millisecond
	backlogTime  = 5 * time.Second
)

// Demand is what the requests of all nodes ask of a pool.
type Demand struct {
	// Engines is the number of engines that the requests need at a utilization of 0.5, and Lag the mean age of the requests
	// that it counts. It is 0 for plain services.
	Engines float64
	Lag     time.Duration
	// Requests is the number of requests in flight, running or waiting, and Slots the number that an upstream runs at once.
	Requests float64
	Slots    int
	// RefusedShare is the share of the recent requests that were not sent to any upstream, and are not in the other figures.
	RefusedShare float64
	// Tokens is the number of prompt tokens of the requests in flight, and Memory the number that an engine has room for, 0 for
	// plain services.
	Tokens float64
	Memory int
	// Backlog is the time that one upstream would need for all prompts that wait for prefill.
	Backlog time.Duration
}

type sample struct {
	at    time.Time
	value float64
}

// keepSince drops the samples before a time.
func keepSince(samples []sample, since time.Time) []sample {
	for len(samples) > 0 && samples[0].at.Before(since) {
		samples = samples[1:]
	}
	return samples
}

// forecast predicts the number of upstreams that the demand needs.
type forecast struct {
	// work and slots are the numbers of upstreams that are needed by the work, and by the slots or the memory.
	work  []sample
	slots []sample
	// lag is Demand.Lag, backlog the part of the upstreams that is needed for the backlog.
	lag     time.Duration
	backlog float64
	firstAt time.Time
}

// add adds the demand at a time. A demand that is known of a part of the nodes only counts as no lower than before: it would
// look like a fall now, and like a steep rise once all nodes are known again.
func (f *forecast) add(now time.Time, demand Demand, complete bool, settings Settings) {
	if f.firstAt.IsZero() {
		if demand.Engines == 0 && demand.Requests == 0 {
			return
		}
		f.firstAt = now
	}
	work := demand.Engines * digestUtilization / settings.Utilization
	slots := demand.Requests / float64(max(demand.Slots, 1)) / settings.Utilization
	if demand.Memory > 0 {
		slots = max(slots, demand.Tokens/float64(demand.Memory)/memoryShare)
	}
	factor := 1 / max(1-demand.RefusedShare, 1.0/maxRefusalFactor)
	work, slots = factor*work, factor*slots
	if last := len(f.work) - 1; !complete && last >= 0 {
		work, slots = max(work, f.work[last].value), max(slots, f.slots[last].value)
	}
	f.work = keepSince(append(f.work, sample{
		at:    now,
		value: work,
	}), now.Add(-largestTime))
	f.slots = keepSince(append(f.slots, sample{
		at:    now,
		value: slots,
	}), now.Add(-largestTime))
	f.lag = demand.Lag
	usual := max(work, slots) * usualBacklog.Seconds()
	f.backlog = max(demand.Backlog.Seconds()-usual, 0) / backlogTime.Seconds()
}

// known reports whether enough traffic was seen to know the demand.
func (f *forecast) known(now time.Time) bool {
	return !f.firstAt.IsZero() && now.Sub(f.firstAt) >= unknownTime
}

// upstreams returns the predicted number of upstreams that are needed when an order takes effect.
func (f *forecast) upstreams(now time.Time, settings Settings) int {
	horizon := settings.Boot + bootReserve
	since := f.firstAt.Add(startTime)
	return roundUp(max(predict(f.work, f.lag, horizon, since, now), predict(f.slots, 0, horizon, since, now)) + f.backlog)
}

// predict returns the larger of the largest sample and the recent trend, extrapolated over the horizon. A decaying sum
// shows a rise late by its lag, which the extrapolation makes up for.
func predict(samples []sample, lag, horizon time.Duration, since, now time.Time) float64 {
	if len(samples) == 0 {
		return 0
	}
	largest := 0.0
	for _, s := range samples {
		largest = max(largest, s.value)
	}
	recent := keepSince(samples, now.Add(-trendTime))
	recent = keepSince(recent, since)
	if len(recent) < 3 || now.Sub(recent[0].at) < minTrend {
		return largest
	}
	last := recent[len(recent)-1].value
	rise := max(slope(recent), 0) * (lag + horizon).Seconds()
	return max(largest, min(last+rise, maxRise*last))
}

// slope returns the rise a second of the line that fits the samples best.
func slope(samples []sample) float64 {
	var meanAt, meanValue float64
	for _, s := range samples {
		meanAt += s.at.Sub(samples[0].at).Seconds()
		meanValue += s.value
	}
	n := float64(len(samples))
	meanAt, meanValue = meanAt/n, meanValue/n
	var covariance, variance float64
	for _, s := range samples {
		x := s.at.Sub(samples[0].at).Seconds() - meanAt
		covariance += x * (s.value - meanValue)
		variance += x * x
	}
	if variance == 0 {
		return 0
	}
	return covariance / variance
}

// roundUp rounds up, except for what is due to the error of floating point numbers.
func roundUp(x float64) int { return int(math.Ceil(x - 1e-9)) }
