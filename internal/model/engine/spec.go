package engine

import "time"

// Spec is how fast and how large an engine is.
type Spec struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MemoryTokens is the tokens that running requests and cached parts may take together.
	MemoryTokens int
	// StepBaseTime is the time of one step of an engine with one request, StepTimePerRequest what each running request
	// adds, and StepTimePerThousandTokens what each thousand tokens of their contexts add.
	StepBaseTime              time.Duration
	StepTimePerRequest        time.Duration
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerMillisecond is the prompt tokens that are read in a millisecond, ChunkTokens how many are read
	// between two steps.
	PrefillTokensPerMillisecond float64
	ChunkTokens                 int
	// PrefillDelay is the time from a prompt's arrival to the reading of its first token. At its end lies
	// PrefillSetupTime, during which other requests stand still, at most half of the time that the prompt's reading
	// takes.
	PrefillDelay     time.Duration
	PrefillSetupTime time.Duration
}

// PublishedSpec returns the figures that the users publish of their engines; slots and memory differ by installation.
// How the 120 ms before a first token divide into PrefillDelay and PrefillSetupTime was measured: docs/MODEL.md.
func PublishedSpec(slots, memory int) Spec {
	return Spec{
		Slots:                       slots,
		MemoryTokens:                memory,
		StepBaseTime:                6550 * time.Microsecond,
		StepTimePerRequest:          165 * time.Microsecond,
		StepTimePerThousandTokens:   4 * time.Microsecond,
		PrefillTokensPerMillisecond: 62.4,
		ChunkTokens:                 1024,
		PrefillDelay:                120 * time.Millisecond,
		PrefillSetupTime:            60 * time.Millisecond,
	}
}

// step returns the time in which each of the running requests generates one token.
func (s Spec) step(running, context int) time.Duration {
	if running == 0 {
		return 0
	}
	return s.StepBaseTime + time.Duration(running)*s.StepTimePerRequest +
		time.Duration(context)*s.StepTimePerThousandTokens/1000
}

// reading returns the time to read tokens of a prompt.
func (s Spec) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillTokensPerMillisecond * float64(time.Millisecond))
}

// start returns the time that the beginning of a prompt's reading takes.
func (s Spec) start(tokens int) time.Duration { return min(s.PrefillSetupTime, s.reading(tokens)/2) }
