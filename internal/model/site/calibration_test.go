package site

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/model/engine"
)

// engineMakes are makes of engines that differ in speed, chunk size and start of the prefill.
var engineMakes = map[string]engine.Spec{
	"published": engine.PublishedSpec(64, 629_377),
	"dense, fast, large chunks": {
		StepBaseTime:                4630 * time.Microsecond,
		StepTimePerRequest:          12 * time.Microsecond,
		StepTimePerThousandTokens:   16 * time.Microsecond,
		PrefillTokensPerMillisecond: 41.4,
		ChunkTokens:                 2048,
		PrefillTimePerMillionPairs:  590 * time.Microsecond,
		PrefillDelay:                2 * time.Millisecond,
		PrefillSetupTime:            2 * time.Millisecond,
	},
	"dense, slow, small chunks": {
		StepBaseTime:                15 * time.Millisecond,
		StepTimePerRequest:          150 * time.Microsecond,
		PrefillTokensPerMillisecond: 30,
		ChunkTokens:                 512,
		PrefillDelay:                20 * time.Millisecond,
		PrefillSetupTime:            5 * time.Millisecond,
	},
	"mixture, small chunks": {
		StepBaseTime:                10 * time.Millisecond,
		StepTimePerRequest:          300 * time.Microsecond,
		PrefillTokensPerMillisecond: 35,
		ChunkTokens:                 512,
		PrefillDelay:                60 * time.Millisecond,
		PrefillSetupTime:            20 * time.Millisecond,
	},
	"small model": {
		StepBaseTime:                2 * time.Millisecond,
		StepTimePerRequest:          40 * time.Microsecond,
		PrefillTokensPerMillisecond: 120,
		ChunkTokens:                 4096,
		PrefillDelay:                5 * time.Millisecond,
		PrefillSetupTime:            2 * time.Millisecond,
	},
	"late start": {
		StepBaseTime:                8 * time.Millisecond,
		StepTimePerRequest:          100 * time.Microsecond,
		PrefillTokensPerMillisecond: 55,
		ChunkTokens:                 1024,
		PrefillDelay:                300 * time.Millisecond,
		PrefillSetupTime:            40 * time.Millisecond,
	},
}

// maxPredictionError is how far the predicted time to the first token may be off after five seconds of traffic: the
// choice among engines treats such a difference as noise.
const maxPredictionError = 0.25

// TestEnginesOfAnyMakeAreLearned compares what a node has learned of the engines after 1, 5 and 20 seconds of traffic
// with their actual speed, by the predicted time to the first token and of a decode step. The log is the table in
// docs/MODEL.md.
func TestEnginesOfAnyMakeAreLearned(t *testing.T) {
	const tokens, running = 4000, 8
	for name, make := range engineMakes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			make.Slots, make.MemoryTokens = 64, 629_377
			actualFirst := make.PrefillDelay + make.PrefillTime(tokens) +
				time.Duration(float64(tokens)/float64(make.ChunkTokens)*float64(make.Profile().Step(running)))
			actualStep := make.Profile().Step(running)
			for _, length := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
				spec := newSpec()
				spec.Duration = length
				spec.Engine = make
				learned := Run(spec, policyByName(t, "lagoongw"), 3).Learned
				firstError := relativeError(learned.TimeToFirstToken(tokens, running), actualFirst)
				stepError := relativeError(learned.Step(running), actualStep)
				t.Logf("after %v: first token %+.2f, step %+.2f", length, firstError, stepError)
				if length >= 5*time.Second {
					is.True(math.Abs(firstError) <= maxPredictionError)
					is.True(math.Abs(stepError) <= maxPredictionError)
				}
			}
		})
	}
}

func relativeError(got, actual time.Duration) float64 { return float64(got)/float64(actual) - 1 }
