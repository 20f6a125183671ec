package engine

import (
	"time"

	"lagoongw/internal/coordination/calibration"
)

// Spec describes the speed and the size of an engine.
type Spec struct {
	// Slots is the largest number of requests in a batch.
	Slots int
	// MemoryTokens is the size of the memory, the KV cache, in tokens. The running requests and the cache of prompt parts
	// share it.
	MemoryTokens int
	// StepBaseTime is the time of a decode step without running requests. StepTimePerRequest is added for each running
	// request, and StepTimePerThousandTokens for each thousand tokens of their contexts.
	StepBaseTime              time.Duration
	StepTimePerRequest        time.Duration
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerMillisecond is the prefill speed, and ChunkTokens the largest number of prompt tokens that are
	// prefilled between two decode steps.
	PrefillTokensPerMillisecond float64
	ChunkTokens                 int
	// PrefillTimePerMillionPairs is added for each million pairs of a prefilled token and one before it in its prompt.
	PrefillTimePerMillionPairs time.Duration
	// PrefillDelay is the time from the arrival of a prompt to the prefill of its first token. The last part of it is
	// the setup of the prefill, which delays the other requests of the batch. The setup takes PrefillSetupTime, but at
	// most half of the time of the prefill.
	PrefillDelay     time.Duration
	PrefillSetupTime time.Duration
}

// PublishedSpec returns a Spec with the figures that the users published for their engines; the slots and the memory,
// in tokens, differ by installation. For how the 120 ms before a first token divide into PrefillDelay and
// PrefillSetupTime, see docs/MODEL.md.
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

// Profile returns the speed of the engine as lagoongw describes it.
func (s Spec) Profile() calibration.Profile {
	return calibration.NewProfile(
		s.PrefillDelay, s.PrefillTime(1), s.StepBaseTime, s.StepTimePerRequest)
}

// stepTime returns the duration of a decode step, in which each running request generates one token.
func (s Spec) stepTime(running, contextTokens int) time.Duration {
	if running == 0 {
		return 0
	}
	return s.StepBaseTime + time.Duration(running)*s.StepTimePerRequest +
		time.Duration(contextTokens)*s.StepTimePerThousandTokens/1000
}

// PrefillTime returns the time to prefill prompt tokens, without setup.
func (s Spec) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.PrefillTokensPerMillisecond * float64(time.Millisecond))
}

// attentionTime returns the time that a chunk takes in addition because of the tokens before it in its prompt.
func (s Spec) attentionTime(chunkTokens, tokensBefore int) time.Duration {
	const million = 1e6
	pairs := float64(chunkTokens) * (float64(tokensBefore) + float64(chunkTokens)/2)
	return time.Duration(pairs / million * float64(s.PrefillTimePerMillionPairs))
}

// setupTime returns the time to set up the prefill of prompt tokens.
func (s Spec) setupTime(tokens int) time.Duration {
	return min(s.PrefillSetupTime, s.PrefillTime(tokens)/2)
}
