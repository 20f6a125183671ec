package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/route"
)

func TestIsInteractive(t *testing.T) {
	is := is.New(t)
	short := prompt.Prompt{
		{
			ID:     1,
			Tokens: 1500,
		},
	}
	long := prompt.Prompt{
		{
			ID:     1,
			Tokens: 17000,
		},
	}
	four, two := &route.Engine{EventTokens: 4}, &route.Engine{EventTokens: 2}
	request := Request{
		Prompt: short,
		Gap:    150 * time.Millisecond,
	}
	is.True(isInteractive(request, four))
	is.True(!isInteractive(request, two)) // events with half as many tokens take half as long
	is.True(!isInteractive(request, nil))
	request.Prompt = long
	is.True(!isInteractive(request, four)) // its own prefill delays others
	request.Prompt, request.Gap = short, 0
	is.True(!isInteractive(request, four))
}

func TestSplitResize(t *testing.T) {
	for name, c := range map[string]struct {
		demand   EngineDemand
		engines  int
		previous int
		expected int
	}{
		"as many as demanded": {
			demand: EngineDemand{
				Interactive: 19.5,
				Bulk:        50,
			},
			engines:  140,
			expected: 20,
		},
		"proportional share when there are too few engines": {
			demand: EngineDemand{
				Interactive: 50,
				Bulk:        150,
			},
			engines:  100,
			expected: 25,
		},
		"no change within the hysteresis": {
			demand: EngineDemand{
				Interactive: 24,
				Bulk:        50,
			},
			engines:  140,
			previous: 20,
			expected: 20,
		},
		"one engine remains for bulk requests": {
			demand: EngineDemand{
				Interactive: 50,
				Bulk:        0.1,
			},
			engines:  3,
			expected: 2,
		},
		"no split for one kind of request": {
			demand:   EngineDemand{Interactive: 50},
			engines:  10,
			previous: 5,
			expected: 0,
		},
		"no split of a single engine": {
			demand: EngineDemand{
				Interactive: 1,
				Bulk:        1,
			},
			engines:  1,
			expected: 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := split{
				firstAt:            start,
				decayedAt:          start.Add(time.Minute),
				interactiveEngines: c.previous,
			}
			s.resize(c.demand, c.engines)
			is.Equal(s.interactiveEngines, c.expected)
		})
	}
}

func TestDemandIsEstimatedSoonAndFollowsChanges(t *testing.T) {
	is := is.New(t)
	var s split
	const (
		interval  = 100 * time.Millisecond
		needed    = 0.7
		tolerance = 0.15
	)
	now := start
	recordFor := func(length time.Duration, engines float64) {
		for end := now.Add(length); now.Before(end); now = now.Add(interval) {
			s.record(true, engines*interval.Seconds(), now)
		}
	}
	isNear := func(got, expected float64) bool { return got > expected*(1-tolerance) && got < expected*(1+tolerance) }
	recordFor(2*time.Second, needed)
	is.True(isNear(s.demand(now).Interactive, needed))
	recordFor(5*demandHalfLife, 3*needed)
	is.True(isNear(s.demand(now).Interactive, 3*needed))
}
