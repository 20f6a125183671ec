package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/route"
)

func TestWhichAnswersNeedEnginesOfTheirOwn(t *testing.T) {
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
	is.True(!isInteractive(request, two)) // half as many tokens in an event take half as long
	is.True(!isInteractive(request, nil))
	request.Prompt = long
	is.True(!isInteractive(request, four)) // its own reading makes others pause
	request.Prompt, request.Gap = short, 0
	is.True(!isInteractive(request, four))
}

func TestTheDivisionOfEngines(t *testing.T) {
	for name, c := range map[string]struct {
		need     EngineDemand
		engines  int
		before   int
		expected int
	}{
		"as many as needed": {
			need: EngineDemand{
				Interactive: 19.5,
				Bulk:        50,
			},
			engines:  140,
			expected: 20,
		},
		"their part when there are too few": {
			need: EngineDemand{
				Interactive: 50,
				Bulk:        150,
			},
			engines:  100,
			expected: 25,
		},
		"a small change moves no home": {
			need: EngineDemand{
				Interactive: 24,
				Bulk:        50,
			},
			engines:  140,
			before:   20,
			expected: 20,
		},
		"one is left for the others": {
			need: EngineDemand{
				Interactive: 50,
				Bulk:        0.1,
			},
			engines:  3,
			expected: 2,
		},
		"no division for one kind alone": {
			need:     EngineDemand{Interactive: 50},
			engines:  10,
			before:   5,
			expected: 0,
		},
		"no division of a single engine": {
			need: EngineDemand{
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
				since:   begin,
				at:      begin.Add(time.Minute),
				engines: c.before,
			}
			s.divide(c.need, c.engines)
			is.Equal(s.engines, c.expected)
		})
	}
}

func TestTheRateOfWorkIsKnownSoonAndFollowsChanges(t *testing.T) {
	is := is.New(t)
	var s split
	const (
		each   = 100 * time.Millisecond
		needed = 0.7
		near   = 0.15
	)
	now := begin
	work := func(length time.Duration, engines float64) {
		for end := now.Add(length); now.Before(end); now = now.Add(each) {
			s.note(true, engines*each.Seconds(), now)
		}
	}
	isNear := func(got, expected float64) bool { return got > expected*(1-near) && got < expected*(1+near) }
	work(2*time.Second, needed)
	is.True(isNear(s.rate(now).Interactive, needed))
	work(5*workHalfLife, 3*needed)
	is.True(isNear(s.rate(now).Interactive, 3*needed))
}
