package calibration

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// observe feeds an estimator what a node sees of engines with a profile.
func observe(e *Estimator, actual Profile, scale float64) {
	for i := range 60 {
		tokens := 400 + 200*i
		running := i % 20
		e.ObserveFirstEvent(time.Duration(scale*float64(actual.TimeToFirstToken(tokens, running))), tokens)
		e.ObservePause(time.Duration(scale*float64(3*actual.Step(running))), 3, running)
	}
}

func near(got, expected time.Duration, tolerance float64) bool {
	return math.Abs(float64(got)/float64(expected)-1) <= tolerance
}

func TestProfileFollowsTheObservations(t *testing.T) {
	is := is.New(t)
	actual := NewProfile(150*time.Millisecond, 40*time.Microsecond, 12*time.Millisecond, 300*time.Microsecond)
	var e Estimator
	observe(&e, actual, 1)
	learned := e.Evidence(start).Profile()
	is.True(near(learned.TimeToFirstToken(5000, 10), actual.TimeToFirstToken(5000, 10), 0.15))
	is.True(near(learned.Step(10), actual.Step(10), 0.15))
	is.True(!learned.Differs(actual, 1.4))
	is.True(learned.Differs(Evidence{}.Profile(), 1.4))
}

// TestFewSlowEnginesDoNotChangeTheProfile mixes in observations of engines that take six times as long.
func TestFewSlowEnginesDoNotChangeTheProfile(t *testing.T) {
	is := is.New(t)
	actual := NewProfile(50*time.Millisecond, 20*time.Microsecond, 8*time.Millisecond, 100*time.Microsecond)
	var e Estimator
	for range 4 {
		observe(&e, actual, 1)
	}
	observe(&e, actual, 6)
	is.True(near(e.Evidence(start).Profile().TimeToFirstToken(5000, 10), actual.TimeToFirstToken(5000, 10), 0.3))
}

func TestEvidenceOfNodesAddsUp(t *testing.T) {
	is := is.New(t)
	actual := NewProfile(50*time.Millisecond, 20*time.Microsecond, 8*time.Millisecond, 100*time.Microsecond)
	var own, peer Estimator
	observe(&own, actual, 1)
	observe(&peer, actual, 2)
	peer.CountPause(time.Second, start)
	sum := own.Evidence(start).Plus(peer.Evidence(start), 1)
	is.True(sum.Firsts[3].Weight > own.Evidence(start).Firsts[3].Weight)
	rest := sum.Plus(peer.Evidence(start), -1)
	is.True(!rest.Profile().Differs(own.Evidence(start).Profile(), 1.001))
	is.Equal(rest.Pauses, own.Evidence(start).Pauses)
	none := own.Evidence(start).Plus(sum, -1) // sums of different times may not match
	is.Equal(none.Profile(), Evidence{}.Profile())
}

func TestPauseShareCountsPausesBetweenTwoLengths(t *testing.T) {
	is := is.New(t)
	var e Estimator
	_, known := e.Evidence(start).PauseShare(100*time.Millisecond, time.Second)
	is.True(!known)
	for i := range 1000 {
		switch {
		case i < 20:
			e.CountPause(10*time.Second, start) // a stall
		case i < 70:
			e.CountPause(300*time.Millisecond, start)
		default:
			e.CountPause(40*time.Millisecond, start)
		}
	}
	share, known := e.Evidence(start).PauseShare(150*time.Millisecond, 600*time.Millisecond)
	is.True(known)
	is.True(math.Abs(share-0.05) < 0.001)
	_, known = e.Evidence(start.Add(10*pauseHalfLife)).PauseShare(150*time.Millisecond, 600*time.Millisecond)
	is.True(!known) // they were long ago
}

// BenchmarkObserve measures what each event of a stream costs.
func BenchmarkObserve(b *testing.B) {
	var e Estimator
	b.ReportAllocs()
	for b.Loop() {
		e.CountPause(45*time.Millisecond, start)
		e.ObservePause(45*time.Millisecond, 3, 12)
	}
}
