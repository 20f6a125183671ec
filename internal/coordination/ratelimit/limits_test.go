package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start  = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)
	second = time.Second
)

// TestLimitEndsByALaterAnswerOnly guards against a limit ended by an answer that another one has overtaken.
func TestLimitEndsByALaterAnswerOnly(t *testing.T) {
	is := is.New(t)
	var l Limits
	is.True(!l.Answered(modelUpstream, 0, start, start)) // without a limit there is nothing to end
	is.True(l.Answered(modelUpstream, 4, start, start.Add(second)))
	is.True(!l.Answered(modelUpstream, 4, start, start.Add(2*second)))
	is.True(!l.Answered(modelUpstream, 0, start.Add(second), start.Add(3*second)))
	is.Equal(l.Limit(modelUpstream), 4.0)
	is.True(l.Answered(modelUpstream, 2, start.Add(second), start.Add(4*second)))
	is.Equal(l.Limit(modelUpstream), 2.0)
	is.True(l.Answered(modelUpstream, 0, start.Add(5*second), start.Add(6*second)))
	is.Equal(l.Limit(modelUpstream), 0.0)
	is.Equal(l.Limit(Upstream{Name: "engine", Boot: 1}), 0.0)
}

// TestOlderReportDoesNotReviveALimit guards against a node that tells of a limit after it has ended elsewhere.
func TestOlderReportDoesNotReviveALimit(t *testing.T) {
	is := is.New(t)
	var here, there Limits
	there.Answered(modelUpstream, 4, start, start)
	tell := func(from, to *Limits, now time.Time) {
		for _, r := range from.Reports(now) {
			to.Merge(r, now.Add(50*time.Millisecond))
		}
	}
	tell(&there, &here, start.Add(second))
	is.Equal(here.Limit(modelUpstream), 4.0)
	is.True(here.Answered(modelUpstream, 0, start.Add(2*second), start.Add(3*second)))
	for i := range 8 { // both go on telling each other
		now := start.Add(3*second + time.Duration(i)*250*time.Millisecond)
		tell(&there, &here, now)
		is.Equal(here.Limit(modelUpstream), 0.0)
		tell(&here, &there, now)
	}
	is.Equal(there.Limit(modelUpstream), 0.0)
	is.Equal(len(here.Reports(start.Add(time.Hour))), 0) // and the end is forgotten
}

// TestReportsThatAreNoLimitAreIgnored guards against rows from a faulty peer.
func TestReportsThatAreNoLimitAreIgnored(t *testing.T) {
	is := is.New(t)
	var l Limits
	for _, limit := range []float64{0, -1, math.NaN()} {
		l.Merge(Report{
			Upstream: modelUpstream,
			Limit:    limit,
		}, start)
	}
	is.Equal(len(l.Reports(start)), 0)
	l.Merge(Report{
		Upstream: modelUpstream,
		Limit:    1e-300,
		Age:      -time.Hour,
	}, start)
	is.Equal(l.Limit(modelUpstream), minLimit)
	is.True(l.Answered(modelUpstream, 0, start.Add(second), start.Add(2*second))) // a negative age makes it no newer
}

// TestPausedHolderGrantsNothingAtFirst guards against a node that was paused going on as the holder, though the others have
// chosen another one meanwhile.
func TestPausedHolderGrantsNothingAtFirst(t *testing.T) {
	is := is.New(t)
	g := Grants{Self: "a"}
	now := start
	run := func(d time.Duration) (granted int) {
		for end := now.Add(d); now.Before(end); now = now.Add(modelTick) {
			g.Tick([]string{"a"}, 1, now)
			if g.Take(modelUpstream, 10, now).Granted {
				granted++
			}
		}
		return granted
	}
	run(takeoverDelay)
	is.True(run(2*second) > 0)
	now = now.Add(5 * second) // the process is stopped
	is.Equal(run(takeoverDelay-modelTick), 0)
	is.True(run(2*second) > 0)
}

// TestWaitOfADenialIsTrue guards against a node that asks again in vain.
func TestWaitOfADenialIsTrue(t *testing.T) {
	is := is.New(t)
	for _, limit := range []float64{minLimit, 0.5, 3, 250} {
		g := Grants{Self: "a"}
		now := start
		g.Tick([]string{"a"}, 1, now)
		for range 5 {
			grant := g.Take(modelUpstream, limit, now)
			for grant.Granted {
				grant = g.Take(modelUpstream, limit, now)
			}
			now = now.Add(grant.Wait + time.Nanosecond)
			is.True(g.Take(modelUpstream, limit, now).Granted)
		}
	}
}

// TestNodeThatIsNotTheHolderGrantsNothing guards against two nodes that grant the same limit.
func TestNodeThatIsNotTheHolderGrantsNothing(t *testing.T) {
	is := is.New(t)
	live := []string{"a", "b", "c"}
	holders := 0
	for _, name := range live {
		g := Grants{Self: name}
		now := start
		for ; now.Before(start.Add(2 * takeoverDelay)); now = now.Add(modelTick) {
			g.Tick(live, len(live), now)
			g.Take(modelUpstream, 10, now)
		}
		if g.Take(modelUpstream, 10, now.Add(second)).Granted {
			holders++
		}
	}
	is.Equal(holders, 1)
}
