package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	window = 5 * time.Second
	late   = 10 * time.Second
)

// start is the start of a window.
var start = time.Unix(1_800_000_000, 0)

func newTally(t *testing.T, records map[string][]byte, now time.Time) *Tally {
	t.Helper()
	tally := &Tally{
		Window: window,
		Off:    0.05,
		Late:   late,
	}
	is.New(t).NoErr(tally.Gain(1, records, now))
	return tally
}

// hear has a tally hear a node whose counts all belong to team t1 and one window, and that counts in a window now.
func hear(tally *Tally, node string, boot uint64, in, current, count int, at time.Time) {
	tally.Receive(node, Counts{
		Boot:     boot,
		Current:  current,
		Revision: 1,
		Up:       time.Hour,
		Windows:  map[int]map[string]int{in: {"t1": count}},
	}, at, at)
}

// TestCounterSortsEarlyRequests guards against requests counted by a wrong wall clock before the holder has told the time,
// and against a correction that reopens a window whose counts the holder takes for final.
func TestCounterSortsEarlyRequests(t *testing.T) {
	is := is.New(t)
	boot := 100 * time.Second
	c := &Counter{
		Window:   window,
		Kept:     4,
		BootTime: func() time.Duration { return boot },
	}
	c.Began("t1")
	boot += 4 * time.Second
	c.Began("t1")
	is.Equal(c.Counts(0).Current, 0)
	c.Correct(start.Add(2 * time.Second)) // the first request was 2 s before start
	now := WindowAt(start, window)
	is.Equal(c.Counts(0).Windows, map[int]map[string]int{now - 1: {"t1": 1}, now: {"t1": 1}})
	c.Correct(start.Add(-time.Second)) // told late
	c.Began("t1")
	got := c.Counts(0)
	is.Equal(got.Current, now)
	is.Equal(got.Windows[now]["t1"], 2)
	is.Equal(len(c.Counts(got.Revision).Windows), 0) // nothing has changed
	c.Began("t2")
	is.Equal(c.Counts(got.Revision).Windows, map[int]map[string]int{now: {"t2": 1}})
}

// TestConsensusWithstandsWrongClocks guards against wall clocks of less than half of the nodes that move true time, and a
// time that rests on fewer nodes than that.
func TestConsensusWithstandsWrongClocks(t *testing.T) {
	is := is.New(t)
	var c Consensus
	live := []string{"a", "b", "c", "d", "e"}
	wrong := map[string]time.Duration{"a": 2400 * time.Millisecond, "e": -time.Hour}
	for i, node := range live {
		c.Observe(node, start.Add(wrong[node]), time.Second, 3*time.Second)
		is.Equal(c.Settle(live), i >= 2)
	}
	now, known := c.Now(2 * time.Second)
	is.True(known)
	is.True(now.Equal(start))
}

// TestWindowWaitsForItsNodes guards against counts that are fixed before all nodes have told theirs, and against waiting for
// nodes whose process has ended or started anew.
func TestWindowWaitsForItsNodes(t *testing.T) {
	is := is.New(t)
	k := WindowAt(start, window)
	tally := newTally(t, nil, start.Add(-time.Minute))
	tally.next = k
	tally.SetNodes([]Node{{Name: "a", Live: true}, {Name: "b", Live: true}, {Name: "c", Live: true}, {Name: "d", Live: true}})
	end := start.Add(window)
	for _, node := range []string{"a", "b", "c", "d"} {
		hear(tally, node, 1, k, k, 100, end.Add(-time.Second))
	}
	hear(tally, "a", 1, k, k+1, 130, end.Add(200*time.Millisecond))
	hear(tally, "b", 2, k+1, k+1, 5, end.Add(200*time.Millisecond)) // started anew
	tally.Ended("c", end.Add(200*time.Millisecond))
	is.Equal(len(tally.Due(end.Add(time.Second))), 0) // d is missing
	hear(tally, "d", 1, k, k+1, 120, end.Add(1200*time.Millisecond))
	due := tally.Due(end.Add(1500 * time.Millisecond))
	is.Equal(len(due), 1)
	is.Equal(due[0].Kind, Fix)
	is.Equal(due[0].Counts, map[string]int{"t1": 450})
	hear(tally, "c", 1, k, k+1, 125, end.Add(1600*time.Millisecond))
	due = tally.Due(end.Add(1700 * time.Millisecond))
	is.Equal(due[0].Counts, map[string]int{"t1": 450}) // a save without an answer may have been executed
	tally.Fixed(k)
	is.Equal(tally.Due(end.Add(2 * time.Second))[0].Kind, Send)
}

// TestMissingNodesDecide guards against reports without the requests of nodes that had too many of them, and against
// windows left out for a few.
func TestMissingNodesDecide(t *testing.T) {
	for name, c := range map[string]struct {
		missing int
		kind    Kind
	}{
		"few":      {missing: 18, kind: Fix},
		"too many": {missing: 100, kind: LeaveOut},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := WindowAt(start, window)
			tally := newTally(t, nil, start.Add(-time.Minute))
			tally.next = k
			tally.SetNodes([]Node{{Name: "a", Live: true}, {Name: "b", Live: true}})
			hear(tally, "b", 1, k-1, k-1, c.missing, start) // in 5 s, then silent
			end := start.Add(window)
			hear(tally, "a", 1, k, k+1, 500, end.Add(time.Second))
			is.Equal(len(tally.Due(end.Add(5*time.Second))), 0)
			is.Equal(tally.Due(end.Add(6 * time.Second))[0].Kind, c.kind)
		})
	}
}

// TestNextHolderSendsWhatIsFixed guards against a holder that counts a window anew which an earlier one has fixed, and that
// loses the counts of nodes that ended with it.
func TestNextHolderSendsWhatIsFixed(t *testing.T) {
	is := is.New(t)
	k := WindowAt(start, window)
	end := start.Add(window)
	first := newTally(t, nil, start.Add(-time.Minute))
	first.next = k
	first.SetNodes([]Node{{Name: "a", Live: true}, {Name: "b", Live: true}})
	hear(first, "a", 1, k, k+1, 60, end)
	hear(first, "b", 1, k, k+1, 40, end)
	is.Equal(first.Due(end)[0].Counts, map[string]int{"t1": 100})
	fixed, err := EncodeFixed(k, first.fixing)
	is.NoErr(err)
	first.Fixed(k)
	hear(first, "a", 1, k+1, k+1, 7, end.Add(time.Second))
	open, err := first.Checkpoint(end.Add(time.Second))
	is.NoErr(err)

	second := newTally(t, map[string][]byte{
		FixedKey(k): fixed,
		KeyOpen:     open,
	}, end.Add(4*time.Second))
	second.SetNodes([]Node{{Name: "b", Live: true}})
	second.Ended("a", end.Add(4*time.Second))
	due := second.Due(end.Add(4 * time.Second))
	is.Equal(len(due), 1)
	is.Equal(due[0].Kind, Send)
	is.Equal(due[0].Window, k)
	is.Equal(due[0].Counts, map[string]int{"t1": 100})
	second.Accepted(k)
	hear(second, "b", 1, k+1, k+2, 500, end.Add(window))
	is.Equal(second.Due(end.Add(window))[0].Counts, map[string]int{"t1": 507})

	broken := &Tally{
		Window: window,
		Off:    0.05,
		Late:   late,
	}
	is.True(broken.Gain(1, map[string][]byte{FixedKey(k): []byte("{")}, end) != nil)
	broken.next = k
	broken.SetNodes([]Node{{Name: "b", Live: true}})
	hear(broken, "b", 1, k, k+1, 40, end)
	is.Equal(broken.Due(end)[0].Reason, ReasonEra) // its counts may have been reported
}
