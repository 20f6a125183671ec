package duty

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// single is one election with a topic that it alone writes to, unless a test does.
type single struct {
	election *Election
	now      time.Duration
	view     View
	// live holds the live members.
	live []string
	// lost has the store execute appends without an answer.
	lost bool
	// turnedAway has the store answer appends with an error and not execute them.
	turnedAway bool
	reads      int
	appends    int
}

func newSingle() *single {
	s := &single{
		election: &Election{
			Self:   "a",
			Boot:   7,
			Lease:  modelLease,
			Margin: modelMargin,
		},
		now:  time.Hour,
		live: []string{"a"},
	}
	s.election.Start(s.reading())
	return s
}

func (s *single) reading() Reading {
	return Reading{
		Boot: s.now,
		Wall: time.Unix(0, 0).Add(s.now),
	}
}

// put appends a record of another writer.
func (s *single) put(lease wire.DutyLease) {
	s.view.Found, s.view.Offset, s.view.Lease = true, s.view.End, lease
	s.view.End++
}

// run performs what is due for a time.
func (s *single) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += modelTick {
		for range 3 {
			s.perform(s.election.Due(s.reading(), func() []string { return s.live }))
		}
	}
}

func (s *single) perform(action Action) {
	switch {
	case action.Kind == Read:
		s.reads++
		s.election.ReadDone(s.view, s.reading())
	case action.Kind == Append && s.turnedAway:
		s.appends++
		s.election.Appended(action, Unknown, 0, s.reading())
	case action.Kind == Append && action.At != s.view.End:
		s.election.Appended(action, Conflict, 0, s.reading())
	case action.Kind == Append:
		s.put(action.Record)
		if s.lost {
			s.election.Appended(action, Unknown, 0, s.reading())
		} else {
			s.election.Appended(action, Done, s.view.Era, s.reading())
		}
	}
}

func (s *single) held() string {
	number, held := s.election.Held(s.reading())
	return fmt.Sprint(number, held)
}

// A node that is alone claims the lease once it has waited, and renews it with the number of its claim.
func TestClaimIsRenewedWithItsNumber(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.view.End, s.view.Era = 41, 2
	s.run(startDelay + modelLease)
	is.Equal(s.held(), "0 false") // a lease that it has not seen may be in force
	s.run(2 * time.Second)
	is.Equal(s.held(), fmt.Sprint(2<<40|42, true))
	reads := s.reads
	s.run(10 * time.Second)
	is.Equal(s.view.Lease, wire.DutyLease{
		Holder: "a",
		Boot:   7,
		Number: 2<<40 | 42,
	})
	is.Equal(s.view.End, 42+11)
	is.Equal(s.reads, reads) // a quiet holder does not read
}

// A number that the platform API has refused must not be used again, and the lease is given up for others.
func TestRefusedNumberIsReleased(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.run(6 * time.Second)
	number, held := s.election.Held(s.reading())
	is.True(held)
	s.election.Refused(number-1, s.reading()) // a late answer to an earlier holdership
	is.Equal(s.held(), fmt.Sprint(number, true))
	s.election.Refused(number, s.reading())
	is.Equal(s.held(), "0 false")
	s.run(modelTick)
	is.True(s.view.Lease.Released)
	s.run(s.election.wait() + time.Second)
	again, held := s.election.Held(s.reading())
	is.True(held && again > number)
}

// A holder that can't reach the platform API leaves the lease to others for 10 s.
func TestUnreachableHolderPauses(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.run(12 * time.Second)
	s.election.Unreachable(unreachableLimit-time.Millisecond, s.reading())
	is.True(s.held() != "0 false")
	s.election.Unreachable(unreachableLimit, s.reading())
	is.Equal(s.held(), "0 false")
	s.run(unreachablePause)
	is.True(s.view.Lease.Released)
	is.Equal(s.held(), "0 false")
	s.run(time.Second)
	is.True(s.held() != "0 false")
}

// The process that starts again on a machine must not take the lease of the one before for its own.
func TestLeaseOfAnEarlierStartIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.put(wire.DutyLease{
		Holder: "a",
		Boot:   6,
		Claim:  true,
		Number: 1,
	})
	s.run(startDelay + modelLease)
	is.Equal(s.held(), "0 false")
	s.run(2 * time.Second)
	is.Equal(s.held(), "2 true")
}

// A released lease is free at once, but not to a node that has just started and may have held another one a moment ago,
// nor after a restore, which may have lost a later lease.
func TestReleasedLeaseIsFreeAtOnce(t *testing.T) {
	released := wire.DutyLease{
		Holder:   "b",
		Number:   1,
		Released: true,
	}
	for name, c := range map[string]struct {
		before time.Duration
		era    int
		want   bool
	}{
		"running":       {before: time.Minute, want: true},
		"just started":  {before: startDelay},
		"after restore": {before: time.Minute, era: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSingle()
			s.live = []string{"a", "b"}
			s.election.Heard("b", 1, Reading{Boot: s.now + c.before - modelLease})
			s.run(c.before - time.Second)
			s.view.Era = c.era
			s.put(released)
			s.run(2 * time.Second)
			is.Equal(s.held() != "0 false", c.want)
		})
	}
}

// An append without an answer is not done until a read shows it; a claim found so is renewed before it is used.
func TestClaimWithoutAnswerIsFoundAndRenewed(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.lost = true
	for !s.view.Found {
		s.run(modelTick)
	}
	is.Equal(s.held(), "0 false")
	s.lost = false
	s.run(time.Second)
	is.Equal(s.held(), "1 true")
	is.True(!s.view.Lease.Claim)
}

// A node that leaves releases the lease, also that of a claim whose answer comes later.
func TestClosedElectionReleases(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	var claim Action
	for claim.Kind != Append {
		s.perform(claim)
		s.now += modelTick
		claim = s.election.Due(s.reading(), func() []string { return s.live })
	}
	s.election.Close(s.reading())
	s.perform(claim)
	is.Equal(s.held(), "0 false")
	s.run(modelTick)
	is.True(s.view.Lease.Released)
	end := s.view.End
	s.run(time.Minute)
	is.Equal(s.view.End, end)
}

// A node that is sent 300 names must wait for at most 8 s by its rank.
func TestDelayByRankIsLimited(t *testing.T) {
	is := is.New(t)
	var live []string
	for i := range 300 {
		live = append(live, fmt.Sprintf("front-%d", i))
	}
	seen := map[int]bool{}
	for _, name := range live {
		seen[rankOf(name, live)] = true
	}
	is.Equal(len(seen), len(live)) // each node has a rank of its own
	e := &Election{}
	is.Equal(e.delay(0), time.Duration(0))
	is.Equal(e.delay(3), 1500*time.Millisecond)
	is.Equal(e.delay(299), 8*time.Second)
	e.Small = true
	is.Equal(e.delay(0), time.Second)
}

// A suspension shows in the boot-time clock, a stop by the host in the wall clock alone; a wall clock that is set back must
// not make a lease valid again that has run out.
func TestLeaseRunsOutByEitherClock(t *testing.T) {
	is := is.New(t)
	const held = modelLease - modelMargin
	for _, passed := range []struct{ boot, wall time.Duration }{
		{boot: held, wall: -time.Hour},
		{wall: held},
	} {
		s := newSingle()
		s.run(6 * time.Second)
		granted := s.election.granted
		_, before := s.election.Held(Reading{
			Boot: granted.Boot + max(passed.boot-1, 0),
			Wall: granted.Wall.Add(passed.wall - 1),
		})
		is.True(before)
		_, after := s.election.Held(Reading{
			Boot: granted.Boot + passed.boot,
			Wall: granted.Wall.Add(passed.wall),
		})
		is.True(!after)
		is.Equal(s.held(), "0 false") // although both clocks have been set back
		s.run(modelTick)
		is.Equal(s.held(), "1 true") // renewed, since nobody has claimed
	}
}

// A conflict may mean that another node has the lease: this one must not act until a read has shown that it has not.
func TestConflictSuspendsTheLease(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.run(6 * time.Second)
	s.view.End++ // a late append of another key
	is.True(!s.election.Saved(Conflict, 0, s.reading()))
	is.Equal(s.held(), "0 false")
	s.run(modelTick)
	is.Equal(s.held(), "1 true")
}

// A number that was given up must not be taken up again when its release has failed.
func TestRetiredNumberIsNotTakenUp(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.run(6 * time.Second)
	s.election.Refused(1, s.reading())
	s.now += modelLease // the store was down all the while
	s.run(modelTick)
	is.True(!s.view.Lease.Released)
	is.Equal(s.held(), "0 false")
	for s.held() == "0 false" {
		s.run(modelTick)
	}
	is.True(s.held() != "1 true")
}

// The time of a freeze must not count as one in which the platform API was not reached.
func TestThawedHolderKeepsTheLease(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.run(6 * time.Second)
	s.now += 20 * time.Second
	s.election.Unreachable(20*time.Second, s.reading())
	s.run(time.Second)
	s.election.Unreachable(21*time.Second, s.reading())
	is.Equal(s.held(), "1 true")
	s.run(unreachableLimit)
	s.election.Unreachable(24*time.Second, s.reading())
	is.Equal(s.held(), "0 false")
}

// A site must not wait for 3 s without a call when the members know that the holder is gone.
func TestGoneHolderIsReplacedSooner(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.put(wire.DutyLease{
		Holder: "b",
		Number: 1,
	})
	s.live = []string{"a", "b"}
	s.election.Heard("b", 1, s.reading())
	s.run(modelTick)
	is.Equal(s.reads, 0)
	s.live = []string{"a"}
	s.run(s.election.wait() + 2*modelTick)
	is.Equal(s.held(), "2 true")
}

// A site whose platform API was away must have a holder soon after the pause of 10 s, also when the release was lost
// and the topic has changed since the last read.
func TestPausedNodeReadsBeforeItsPauseEnds(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.run(12 * time.Second)
	s.election.Unreachable(unreachableLimit, s.reading())
	release := s.election.Due(s.reading(), nil)
	s.election.Appended(release, Unknown, 0, s.reading())
	s.put(wire.DutyLease{
		Holder: "a",
		Boot:   7,
		Number: 1,
	}) // a renewal is executed late in place of the release
	s.now += modelLease // the store was down all the while
	s.run(unreachablePause - modelLease)
	is.Equal(s.held(), "0 false")
	s.run(2 * modelTick)
	is.True(s.held() != "0 false")
}

// A store that turns appends away must get fewer calls, not a read and an append at each check.
func TestStoreThatTurnsAppendsAwayGetsFewerCalls(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.run(6 * time.Second)
	s.turnedAway = true
	reads := s.reads
	s.run(20 * time.Second)
	is.True(s.appends+s.reads-reads <= 40) // no more than two calls a second
	s.turnedAway = false
	s.run(maxRetryDelay + modelTick)
	is.Equal(s.held(), "1 true")
}
