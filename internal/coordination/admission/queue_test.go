package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_700_000_000, 0)

func item(id uint64, tier int) Item {
	return Item{
		ID:          id,
		Tier:        tier,
		Due:         testStart.Add(10 * time.Second),
		Deadline:    testStart.Add(time.Hour),
		ServiceTime: time.Second,
	}
}

func started(actions Actions) []uint64 {
	var ids []uint64
	for _, start := range actions.Start {
		ids = append(ids, start.ID)
	}
	return ids
}

// queueWithOneRunning returns a queue with a limit of one, where request 1 of the given tier is running.
func queueWithOneRunning(tier int) *Queue {
	q := NewQueue()
	q.TrickleShare = 0
	q.SetLimit(1, testStart)
	q.Arrive(item(1, tier), testStart)
	return q
}

func TestHigherTierStartsFirst(t *testing.T) {
	is := is.New(t)
	q := queueWithOneRunning(0)
	q.Arrive(item(2, 5), testStart)
	q.Arrive(item(3, 1), testStart)
	is.Equal(started(q.Done(1, testStart)), []uint64{3})
	is.Equal(started(q.Done(3, testStart)), []uint64{2})
}

func TestWithinATierTheEarlierDueStartsFirst(t *testing.T) {
	is := is.New(t)
	q := queueWithOneRunning(0)
	late, early := item(2, 1), item(3, 1)
	early.Due = testStart.Add(time.Second)
	q.Arrive(late, testStart)
	q.Arrive(early, testStart)
	is.Equal(started(q.Done(1, testStart)), []uint64{3})
}

func TestFullQueueShedsTheNewestOfTheLowestTier(t *testing.T) {
	is := is.New(t)
	q := queueWithOneRunning(0)
	q.MaxWaiting = 3
	q.Reserve = 0
	q.Arrive(item(2, 5), testStart)
	q.Arrive(item(3, 5), testStart.Add(time.Millisecond))
	q.Arrive(item(4, 2), testStart)
	actions := q.Arrive(item(5, 1), testStart.Add(time.Second))
	is.Equal(len(actions.Refuse), 1)
	is.Equal(actions.Refuse[0].ID, uint64(3))
	is.True(actions.Refuse[0].RetryAfter > 0)
	actions = q.Arrive(item(6, 5), testStart.Add(2*time.Second))
	is.Equal(actions.Refuse[0].ID, uint64(6)) // no lower tier is waiting
}

func TestNothingIsShedWhileAPeerAdmitsALowerTier(t *testing.T) {
	is := is.New(t)
	q := queueWithOneRunning(0)
	q.MaxWaiting = 1
	q.Reserve = 0
	q.Arrive(item(2, 5), testStart)
	q.Floor.UpdatePeer("entry-2", 6, LowestTier, testStart)
	is.Equal(len(q.Arrive(item(3, 5), testStart).Refuse), 0)
	q.Floor.UpdatePeer("entry-2", 5, 5, testStart)
	is.Equal(len(q.Arrive(item(4, 5), testStart).Refuse), 1)
}

// TestQueueIsBoundedWhileAPeerAdmitsALowerTier guards against a queue that grows without a bound until the floors of all
// nodes have come down.
func TestQueueIsBoundedWhileAPeerAdmitsALowerTier(t *testing.T) {
	is := is.New(t)
	q := queueWithOneRunning(0)
	q.MaxWaiting = 8
	refused := 0
	for id := uint64(2); id < 200; id++ {
		q.Floor.UpdatePeer("entry-2", 6, LowestTier, testStart)
		refused += len(q.Arrive(item(id, 5), testStart).Refuse)
	}
	is.Equal(q.Waiting(), overfullFactor*q.MaxWaiting)
	is.Equal(refused, 198-overfullFactor*q.MaxWaiting)
	actions := q.Arrive(item(200, 3), testStart)
	is.Equal(len(actions.Refuse), 1)
	is.True(actions.Refuse[0].ID != 200) // a higher tier still takes the place of a lower one
}

func TestFloorMovesOneTierAtATimeAndComesBack(t *testing.T) {
	is := is.New(t)
	f := NewFloor()
	f.observeTier(6, testStart)
	now := testStart
	f.Tighten(4, now)
	is.Equal(f.Local(), 5)
	f.Tighten(4, now.Add(100*time.Millisecond)) // too soon
	is.Equal(f.Local(), 5)
	now = now.Add(floorStepInterval)
	f.Tighten(4, now)
	is.Equal(f.Local(), 4)
	now = now.Add(2 * floorStepInterval)
	f.Relax(now)
	is.Equal(f.Local(), 5)
	now = now.Add(2 * floorStepInterval)
	f.Relax(now)
	is.Equal(f.Local(), LowestTier)
}

// TestFloorForgetsTiersOutOfUse guards against a floor that takes one step for each tier above one that was in use long
// ago before it excludes any request.
func TestFloorForgetsTiersOutOfUse(t *testing.T) {
	is := is.New(t)
	q := queueWithOneRunning(0)
	q.MaxWaiting = 1
	q.Reserve = 0
	q.Arrive(item(2, 14), testStart)
	q.Cancel(2, testStart)
	q.Floor.UpdatePeer("entry-2", 12, LowestTier, testStart)
	q.Floor.RemovePeer("entry-2")
	later := testStart.Add(tierUseTTL)
	for id := uint64(3); id < 5; id++ {
		q.Arrive(item(id, 2), later)
	}
	is.Equal(q.Floor.Local(), 1)
}

func TestFloorOfAnUnreachablePeerExpires(t *testing.T) {
	is := is.New(t)
	f := NewFloor()
	f.UpdatePeer("entry-2", 3, 3, testStart)
	is.Equal(f.Effective(testStart), 3)
	is.Equal(f.Effective(testStart.Add(peerFloorTTL)), LowestTier)
}

func TestWhatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := queueWithOneRunning(1)
	for id := uint64(2); id < 12; id++ {
		q.Arrive(item(id, 1), testStart)
	}
	urgent := item(20, 1)
	urgent.Deadline = testStart.Add(3 * time.Second)
	actions := q.Arrive(urgent, testStart)
	is.Equal(len(actions.Refuse), 1)
	is.Equal(actions.Refuse[0].RetryAfter, 11*time.Second) // the estimated wait, in whole seconds
}

// TestRequestsWaitForTheFirstLimit checks that requests to a newly discovered pool wait while its limit is unknown;
// only a known limit of 0 refuses them.
func TestRequestsWaitForTheFirstLimit(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	for id := uint64(1); id <= 10; id++ {
		is.Equal(len(q.Arrive(item(id, 1), testStart).Refuse), 0)
	}
	is.Equal(len(started(q.SetLimit(10, testStart))), 10)
	q.SetLimit(0, testStart)
	actions := q.Arrive(item(11, 1), testStart)
	is.Equal(actions.Refuse[0].Reason, "no upstream of the pool takes requests")
}

func TestWaitingPastTheDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	q := queueWithOneRunning(0)
	waiting := item(2, 1)
	waiting.Deadline = testStart.Add(2 * time.Second)
	is.Equal(len(q.Arrive(waiting, testStart).Refuse), 0)
	actions := q.Tick(testStart.Add(2 * time.Second))
	is.Equal(len(actions.Refuse), 1)
}

func TestPreemptionPicksTheLowestProducingStream(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.SetLimit(3, testStart)
	for id, tier := range map[uint64]int{1: 5, 2: 6, 3: 6} {
		stream := item(id, tier)
		stream.Resumable = true
		q.Arrive(stream, testStart)
	}
	q.MarkProducing(1)
	q.MarkProducing(2) // request 3 is also of tier 6, but may hold no slot yet
	urgent := item(9, 0)
	urgent.Due = testStart.Add(100 * time.Millisecond)
	actions := q.Arrive(urgent, testStart)
	is.Equal(actions.Preempt, []Preemption{{
		Victim:    2,
		Preemptor: 9,
		Tier:      0,
	}})
	is.Equal(len(started(actions)), 0) // the preemptor is listed in Preempt only
	requeued := q.Requeue(2, time.Second, testStart)
	is.Equal(len(requeued.Start), 0)
	is.Equal(q.Waiting(), 1)
}

func TestNoHigherOrEqualTierIsPreempted(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.SetLimit(1, testStart)
	stream := item(1, 2)
	stream.Resumable = true
	q.Arrive(stream, testStart)
	q.MarkProducing(1)
	for id, tier := range map[uint64]int{2: 2, 3: 3} {
		urgent := item(id, tier)
		urgent.Due = testStart
		is.Equal(len(q.Arrive(urgent, testStart).Preempt), 0)
	}
}

// TestStartBeforePreemptionCountsOnce guards against a second trickle credit for a request that started beyond the slots
// and then preempted another.
func TestStartBeforePreemptionCountsOnce(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.SetLimit(5, testStart)
	for id := range uint64(4) {
		stream := item(id, 5)
		stream.Resumable = true
		q.Arrive(stream, testStart)
		q.MarkProducing(id)
	}
	q.insert(waitingItem{item: item(50, 6)})
	urgent := item(100, 0)
	urgent.Due = testStart
	is.Equal(len(q.Arrive(urgent, testStart).Preempt), 1)
	is.Equal(q.trickleCredit, q.TrickleShare)
}

// TestStoppedStreamIsNeitherExpiredNorShed checks that a preempted stream is resumed in the end, even past its
// deadline and with the queue full.
func TestStoppedStreamIsNeitherExpiredNorShed(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.TrickleShare = 0
	q.MaxWaiting = 1
	q.Reserve = 0
	q.SetLimit(1, testStart)
	stream := item(1, 5)
	stream.Resumable = true
	stream.Deadline = testStart.Add(2 * time.Second)
	q.Arrive(stream, testStart)
	q.MarkProducing(1)
	urgent := item(2, 0)
	urgent.Due = testStart
	is.Equal(len(q.Arrive(urgent, testStart).Preempt), 1)
	is.Equal(len(q.Requeue(1, time.Second, testStart).Refuse), 0)
	later := testStart.Add(time.Minute)
	is.Equal(len(q.Tick(later).Refuse), 0)
	other := item(3, 1)
	other.Due = later.Add(time.Hour)
	other.Deadline = later.Add(2 * time.Hour)
	for _, refusal := range q.Arrive(other, later).Refuse {
		is.True(refusal.ID != 1)
	}
	is.Equal(started(q.Done(2, later)), []uint64{3})
	is.Equal(started(q.Done(3, later)), []uint64{1})
}

// TestNoTierStarves checks that trickle starts serve every tier during a long overload.
func TestNoTierStarves(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.SetLimit(4, testStart)
	served := map[uint64]int{}
	now := testStart
	id := uint64(0)
	var running []uint64
	record := func(actions Actions) {
		for _, start := range actions.Start {
			running = append(running, start.ID)
			served[start.ID%7]++
		}
	}
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		for tier := range uint64(7) {
			id++
			next := item(id*7+tier, int(tier))
			next.Deadline = now.Add(time.Hour)
			record(q.Arrive(next, now))
		}
		if len(running) > 0 {
			done := running[0]
			running = running[1:]
			record(q.Done(done, now))
		}
	}
	for tier := range uint64(7) {
		is.True(served[tier] > 0)
	}
}

// TestRandomLoadsLoseNothing checks, for random arrivals, completions and limits, that no request is lost or decided
// twice, and that none is refused because the queue is full while a request of a lower tier waits.
func TestRandomLoadsLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		q.MaxWaiting = 8
		state := map[uint64]string{}
		tiers := map[uint64]int{}
		now := testStart
		var apply func(actions Actions)
		apply = func(actions Actions) {
			for _, refusal := range actions.Refuse {
				if state[refusal.ID] != "waiting" {
					t.Fatalf("refused a request in state %q", state[refusal.ID])
				}
				state[refusal.ID] = "refused"
				if refusal.Reason == "queue full" && q.LowerTierWaiting(tiers[refusal.ID]) {
					t.Fatalf("request of tier %d refused because the queue is full while a lower tier waits", tiers[refusal.ID])
				}
			}
			for _, start := range actions.Start {
				if state[start.ID] != "waiting" {
					t.Fatalf("started a request in state %q", state[start.ID])
				}
				state[start.ID] = "running"
			}
			for _, p := range actions.Preempt {
				if tiers[p.Victim] <= tiers[p.Preemptor] {
					t.Fatal("preempted a request for one whose tier is not higher")
				}
				state[p.Preemptor] = "running"
				state[p.Victim] = "waiting"
				apply(q.Requeue(p.Victim, time.Second, now))
			}
		}
		for id := uint64(1); id <= uint64(rapid.IntRange(10, 150).Draw(t, "requests")); id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			next := Item{
				ID:          id,
				Tier:        rapid.IntRange(0, 6).Draw(t, "tier"),
				Due:         now.Add(time.Second),
				Deadline:    now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "s")) * time.Second),
				ServiceTime: time.Second,
				Resumable:   rapid.Bool().Draw(t, "resumable"),
			}
			tiers[id] = next.Tier
			state[id] = "waiting"
			apply(q.Arrive(next, now))
			q.MarkProducing(id)
			switch rapid.IntRange(0, 3).Draw(t, "then") {
			case 0:
				apply(q.SetLimit(rapid.IntRange(0, 6).Draw(t, "limit"), now))
			case 1:
				apply(q.Tick(now))
			case 2:
				apply(finishOne(q, state, id, now))
			}
			running, waiting := 0, 0
			for _, s := range state {
				switch s {
				case "running":
					running++
				case "waiting":
					waiting++
				}
			}
			if running != q.Running() || waiting != q.Waiting() {
				t.Fatalf("%s", fmt.Sprintf("%d requests running and %d waiting, but the queue reports %d and %d",
					running, waiting, q.Running(), q.Waiting()))
			}
		}
	})
}

func finishOne(q *Queue, state map[uint64]string, upTo uint64, now time.Time) Actions {
	for id := uint64(1); id <= upTo; id++ {
		if state[id] == "running" {
			state[id] = "done"
			return q.Done(id, now)
		}
	}
	return Actions{}
}
