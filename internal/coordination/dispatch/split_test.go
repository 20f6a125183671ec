package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/calibration"
	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/route"
)

// countPauses feeds a node pauses between events of a pool's engines, of which one in the given number is long.
func countPauses(node *Dispatcher, long time.Duration, oneIn int, now time.Time) {
	p := node.pace("p")
	for i := range 1000 {
		pause := 40 * time.Millisecond
		if i%oneIn == 0 {
			pause = long
		}
		p.estimator.CountPause(pause, now)
	}
}

// TestRequestsThatWouldPauseTooLongAreInteractive checks which requests are kept apart from others' long prompts, by
// the pauses that the engines were seen to make.
func TestRequestsThatWouldPauseTooLongAreInteractive(t *testing.T) {
	const gap = 150 * time.Millisecond
	shortPrompt := prompt.Prompt{
		{
			ID:     1,
			Tokens: 1500,
		},
	}
	longPrompt := prompt.Prompt{
		{
			ID:     1,
			Tokens: 17000,
		},
	}
	for name, c := range map[string]struct {
		request  Request
		long     time.Duration
		oneIn    int
		plain    bool
		expected bool
	}{
		"one pause in fifty is too long": {request: Request{Prompt: shortPrompt, Gap: gap}, long: 250 * time.Millisecond,
			oneIn: 50, expected: true},
		"one in five hundred": {request: Request{Prompt: shortPrompt, Gap: gap}, long: 250 * time.Millisecond, oneIn: 500},
		"stalls of engines":   {request: Request{Prompt: shortPrompt, Gap: gap}, long: 4 * time.Second, oneIn: 50},
		"within the target":   {request: Request{Prompt: shortPrompt, Gap: 400 * time.Millisecond}, long: 250 * time.Millisecond, oneIn: 50},
		"no target":           {request: Request{Prompt: shortPrompt}, long: 250 * time.Millisecond, oneIn: 50},
		"long prompt":         {request: Request{Prompt: longPrompt, Gap: gap}, long: 250 * time.Millisecond, oneIn: 50},
		"plain service":       {request: Request{Prompt: shortPrompt, Gap: gap}, long: 250 * time.Millisecond, oneIn: 50, plain: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node := newDispatcher(9)
			countPauses(node, c.long, c.oneIn, start)
			settings := &route.Engine{EventTokens: 4}
			node.pace("p").streamsWith(c.request.Gap)
			if c.plain {
				settings = nil
			}
			p := node.updatedPace("p", start)
			later := start.Add(paceInterval)
			node.updatedPace("p", later)
			is.True(!p.isInteractive(c.request, settings, later)) // the other nodes don't know the demand yet
			is.Equal(p.isInteractive(c.request, settings, later.Add(tightDelay)), c.expected)
		})
	}
}

// TestTightStreamsStayTightInBetween checks that a share of late streams between the two limits changes nothing.
func TestTightStreamsStayTightInBetween(t *testing.T) {
	is := is.New(t)
	const gap = 150 * time.Millisecond
	node := newDispatcher(9)
	now := start
	tight := func(oneIn int) bool {
		now = now.Add(time.Minute) // earlier pauses no longer count
		node.pace("p").estimator = calibration.Estimator{}
		countPauses(node, 250*time.Millisecond, oneIn, now)
		node.pace("p").streamsWith(gap)
		return node.updatedPace("p", now).streamsWith(gap).tight
	}
	is.True(!tight(200)) // 15 in 100 streams of 32 events
	is.True(tight(50))
	is.True(tight(200))
	is.True(!tight(1000))
}

func TestSplitResize(t *testing.T) {
	for name, c := range map[string]struct {
		demand   EngineDemand
		engines  int
		previous int
		bulkWait time.Duration
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
		"two engines, so that one may fail": {
			demand: EngineDemand{
				Interactive: 0.4,
				Bulk:        4,
			},
			engines:  9,
			expected: 2,
		},
		"one engine where bulk requests need the others": {
			demand: EngineDemand{
				Interactive: 0.4,
				Bulk:        7.5,
			},
			engines:  9,
			expected: 1,
		},
		"a small pool gives way while prompts wait": {
			demand: EngineDemand{
				Interactive: 2,
				Bulk:        4,
			},
			engines:  9,
			previous: 2,
			bulkWait: 2 * maxBulkWait,
			expected: 1,
		},
		"a large pool stays divided while prompts wait": {
			demand: EngineDemand{
				Interactive: 20,
				Bulk:        50,
			},
			engines:  140,
			previous: 20,
			bulkWait: 2 * maxBulkWait,
			expected: 20,
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
			s.resize(c.demand, c.engines, c.bulkWait)
			is.Equal(s.interactiveEngines, c.expected)
		})
	}
}

// TestEngineThatWasGivenUpIsNotGivenBackAtOnce lets the prompts of a small pool wait too long once.
func TestEngineThatWasGivenUpIsNotGivenBackAtOnce(t *testing.T) {
	is := is.New(t)
	s := split{
		firstAt:            start,
		decayedAt:          start.Add(time.Minute),
		interactiveEngines: 1,
	}
	demand := EngineDemand{
		Interactive: 2,
		Bulk:        4,
	}
	s.resize(demand, 9, 2*maxBulkWait)
	is.Equal(s.interactiveEngines, 0)
	s.decayedAt = s.decayedAt.Add(giveWayTime - time.Second)
	s.resize(demand, 9, 0)
	is.Equal(s.interactiveEngines, 0)
	s.decayedAt = s.decayedAt.Add(time.Second)
	s.resize(demand, 9, 0)
	is.Equal(s.interactiveEngines, 2)
}

func TestDemandIsEstimatedSoonAndFollowsChanges(t *testing.T) {
	is := is.New(t)
	var s split
	const (
		interval  = 100 * time.Millisecond
		needed    = 0.7
		kind      = 150 * time.Millisecond
		share     = 0.2
		tolerance = 0.15
	)
	now := start
	recordFor := func(length time.Duration, engines float64) {
		for end := now.Add(length); now.Before(end); now = now.Add(interval) {
			s.record(kind, time.Duration(engines*share*float64(interval)), now)
		}
	}
	interactive := func(time.Duration) (capacity, bool) {
		return capacity{
			prefillShare:     share,
			streamsPerSecond: 1000,
		}, true
	}
	isNear := func(got, expected float64) bool { return got > expected*(1-tolerance) && got < expected*(1+tolerance) }
	recordFor(2*time.Second, needed)
	is.True(isNear(s.demand(interactive, now).Interactive, needed))
	recordFor(5*demandHalfLife, 3*needed)
	is.True(isNear(s.demand(interactive, now).Interactive, 3*needed))
}
