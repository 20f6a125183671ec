package calibration

import (
	"math"
	"time"
)

const (
	// chunkTime is the assumed time of one chunk of prefill. Between two chunks the engine makes a decode step for the
	// running requests, which a prompt waits for too.
	chunkTime = 20 * time.Millisecond
	// queueDelayShare is the share of the start of a prefill that delays the prompts behind it. The rest overlaps with
	// other work.
	queueDelayShare = 0.25
	// maxQueueDelayTokens limits QueueDelayTokens.
	maxQueueDelayTokens = 4000
)

// Profile is the speed of the engines of a pool.
type Profile struct {
	start          time.Duration
	perToken       time.Duration
	step           time.Duration
	stepPerRequest time.Duration
}

// NewProfile returns a profile: start is the time from the arrival of a prompt to its first token without the prefill,
// perToken the time to prefill a prompt token, and step the time of a decode step, which each running request prolongs
// by stepPerRequest.
func NewProfile(start, perToken, step, stepPerRequest time.Duration) Profile {
	return Profile{
		start:          start,
		perToken:       max(perToken, time.Nanosecond),
		step:           step,
		stepPerRequest: stepPerRequest,
	}
}

// Start returns the time from the arrival of a prompt to its first token, not counting the prefill.
func (p Profile) Start() time.Duration { return p.start }

// Prefill returns the time to prefill tokens at an engine on which nothing else runs.
func (p Profile) Prefill(tokens int) time.Duration { return time.Duration(tokens) * p.perToken }

// Step returns the time of a decode step with the given number of running requests.
func (p Profile) Step(running int) time.Duration {
	return p.step + time.Duration(running)*p.stepPerRequest
}

// TimeToFirstToken predicts the time to the first token at an engine that has to prefill tokens first, with running
// requests past their first event.
func (p Profile) TimeToFirstToken(tokens, running int) time.Duration {
	return p.start + time.Duration(float64(p.Prefill(tokens))*p.stretch(p.Step(running)))
}

// ChunkTime returns the longest time for which the prefill of a prompt holds up a decode step, given the time of the
// whole prefill: the start of the prefill and one chunk.
func (p Profile) ChunkTime(prefill time.Duration) time.Duration {
	return time.Duration(queueDelayShare*float64(p.start)) + min(prefill, chunkTime)
}

// stretch is the factor by which decode steps of the given length prolong a prefill.
func (p Profile) stretch(step time.Duration) float64 { return 1 + float64(step)/float64(chunkTime) }

// QueueDelayTokens returns the delay that the start of a prefill adds for the prompts queued behind it, as the number of
// tokens that are prefilled in that time.
func (p Profile) QueueDelayTokens() int {
	return min(int(queueDelayShare*float64(p.start)/float64(p.perToken)), maxQueueDelayTokens)
}

// Differs reports whether any figure of the other profile differs by more than the given factor.
func (p Profile) Differs(other Profile, factor float64) bool {
	limit := math.Log(factor)
	for _, pair := range [][2]time.Duration{
		{p.start, other.start},
		{p.perToken, other.perToken},
		{p.step, other.step},
	} {
		if math.Abs(math.Log(float64(max(pair[0], 1))/float64(max(pair[1], 1)))) > limit {
			return true
		}
	}
	return false
}
