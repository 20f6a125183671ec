package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The platform API turns calls away beyond its limit in any second, also in those around the first calls after a pause.
func TestPaceKeepsToTheLimitInEverySecond(t *testing.T) {
	is := is.New(t)
	for _, limit := range []float64{1, 2, 5, 20} {
		p := &Pace{PerSecond: limit}
		var sent []time.Duration
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			if now%(20*time.Second) < 15*time.Second && p.Allow(now) {
				sent = append(sent, now)
			}
		}
		for first, from := range sent {
			count := 0
			for _, at := range sent[first:] {
				if at < from+time.Second {
					count++
				}
			}
			is.True(count <= int(limit))
		}
		is.True(float64(len(sent)) >= 45*limit/2)
	}
}

// Calls that fail must lead to fewer calls, and calls that were sent together must count as one failure.
func TestBackoffDoublesUpToFourSeconds(t *testing.T) {
	is := is.New(t)
	p := &Pace{}
	now := time.Duration(0)
	for _, want := range []time.Duration{minBackoff, time.Second, 2 * time.Second, maxBackoff, maxBackoff} {
		is.True(p.Allow(now))
		p.TurnedAway(now, now+time.Millisecond)
		p.TurnedAway(now, now+2*time.Millisecond)
		is.True(!p.Allow(now + want))
		now += want + time.Millisecond
	}
	is.True(p.Allow(now))
	p.Answered()
	is.True(p.Allow(now))
}

// One lost answer does not make the platform API unreachable, nor does one that is busy.
func TestUnreachableTakesTwoUnansweredCalls(t *testing.T) {
	is := is.New(t)
	p := &Pace{}
	p.Unanswered(time.Second, 2*time.Second)
	is.Equal(p.Unreachable(9*time.Second), time.Duration(0))
	p.Unanswered(3*time.Second, 4*time.Second)
	is.Equal(p.Unreachable(9*time.Second), 8*time.Second)
	p.TurnedAway(9*time.Second, 10*time.Second)
	is.Equal(p.Unreachable(11*time.Second), time.Duration(0))
}
