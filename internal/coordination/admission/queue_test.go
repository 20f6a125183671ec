package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var begin = time.Unix(1_700_000_000, 0)

func item(id uint64, tier int) Item {
	return Item{
		ID:          id,
		Tier:        tier,
		Due:         begin.Add(10 * time.Second),
		Deadline:    begin.Add(time.Hour),
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

// full returns a queue with a limit of one, which request 1 of the given tier uses.
func full(tier int) *Queue {
	q := NewQueue()
	q.TrickleShare = 0
	q.SetLimit(1, begin)
	q.Arrive(item(1, tier), begin)
	return q
}

func TestHigherTierStartsFirst(t *testing.T) {
	is := is.New(t)
	q := full(0)
	q.Arrive(item(2, 5), begin)
	q.Arrive(item(3, 1), begin)
	is.Equal(started(q.Done(1, begin)), []uint64{3})
	is.Equal(started(q.Done(3, begin)), []uint64{2})
}

func TestWithinATierTheEarlierDueStartsFirst(t *testing.T) {
	is := is.New(t)
	q := full(0)
	late, soon := item(2, 1), item(3, 1)
	soon.Due = begin.Add(time.Second)
	q.Arrive(late, begin)
	q.Arrive(soon, begin)
	is.Equal(started(q.Done(1, begin)), []uint64{3})
}

func TestFullQueueShedsTheNewestOfTheLowestTier(t *testing.T) {
	is := is.New(t)
	q := full(0)
	q.MaxWaiting = 3
	q.Reserve = 0
	q.Arrive(item(2, 5), begin)
	q.Arrive(item(3, 5), begin.Add(time.Millisecond))
	q.Arrive(item(4, 2), begin)
	actions := q.Arrive(item(5, 1), begin.Add(time.Second))
	is.Equal(len(actions.Refuse), 1)
	is.Equal(actions.Refuse[0].ID, uint64(3))
	is.True(actions.Refuse[0].RetryAfter > 0)
	actions = q.Arrive(item(6, 5), begin.Add(2*time.Second))
	is.Equal(actions.Refuse[0].ID, uint64(6)) // nothing lower waits
}

func TestNothingIsShedWhileAPeerAdmitsALowerTier(t *testing.T) {
	is := is.New(t)
	q := full(0)
	q.MaxWaiting = 1
	q.Reserve = 0
	q.Arrive(item(2, 5), begin)
	q.Floor.UpdatePeer("entry-2", 6, LowestTier, begin)
	is.Equal(len(q.Arrive(item(3, 5), begin).Refuse), 0)
	q.Floor.UpdatePeer("entry-2", 5, 5, begin)
	is.Equal(len(q.Arrive(item(4, 5), begin).Refuse), 1)
}

func TestFloorMovesOneTierAtATimeAndComesBack(t *testing.T) {
	is := is.New(t)
	f := NewFloor()
	f.see(6)
	now := begin
	f.Tighten(4, now)
	is.Equal(f.Local(), 5)
	f.Tighten(4, now.Add(100*time.Millisecond)) // too soon
	is.Equal(f.Local(), 5)
	now = now.Add(floorStep)
	f.Tighten(4, now)
	is.Equal(f.Local(), 4)
	now = now.Add(2 * floorStep)
	f.Relax(now)
	is.Equal(f.Local(), 5)
	now = now.Add(2 * floorStep)
	f.Relax(now)
	is.Equal(f.Local(), LowestTier)
}

func TestAWishOfAGonePeerIsForgotten(t *testing.T) {
	is := is.New(t)
	f := NewFloor()
	f.UpdatePeer("entry-2", 3, 3, begin)
	is.Equal(f.Effective(begin), 3)
	is.Equal(f.Effective(begin.Add(peerFloorLife)), LowestTier)
}

func TestWhatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := full(1)
	for id := uint64(2); id < 12; id++ {
		q.Arrive(item(id, 1), begin)
	}
	hurried := item(20, 1)
	hurried.Deadline = begin.Add(3 * time.Second)
	actions := q.Arrive(hurried, begin)
	is.Equal(len(actions.Refuse), 1)
	is.Equal(actions.Refuse[0].RetryAfter, 11*time.Second) // the wait that was estimated, in whole seconds
}

// A pool that was just found has no limit yet; that is no reason to refuse, as a pool without any capacity is.
func TestRequestsWaitForTheFirstLimit(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	for id := uint64(1); id <= 10; id++ {
		is.Equal(len(q.Arrive(item(id, 1), begin).Refuse), 0)
	}
	is.Equal(len(started(q.SetLimit(10, begin))), 10)
	q.SetLimit(0, begin)
	actions := q.Arrive(item(11, 1), begin)
	is.Equal(actions.Refuse[0].Reason, "no upstream of the pool takes requests")
}

func TestWaitingPastTheDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	q := full(0)
	waiting := item(2, 1)
	waiting.Deadline = begin.Add(2 * time.Second)
	is.Equal(len(q.Arrive(waiting, begin).Refuse), 0)
	actions := q.Tick(begin.Add(2 * time.Second))
	is.Equal(len(actions.Refuse), 1)
}

func TestPreemptionPicksTheLowestProducingStream(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.SetLimit(3, begin)
	for id, tier := range map[uint64]int{1: 5, 2: 6, 3: 6} {
		stream := item(id, tier)
		stream.Resumable = true
		q.Arrive(stream, begin)
	}
	q.MarkProducing(1)
	q.MarkProducing(2) // 3 is lower than 1 too, but holds no slot yet
	hurried := item(9, 0)
	hurried.Due = begin.Add(100 * time.Millisecond)
	actions := q.Arrive(hurried, begin)
	is.Equal(actions.Preempt, []Preemption{{
		Victim:    2,
		Preemptor: 9,
		Tier:      0,
	}})
	is.Equal(len(started(actions)), 0) // the winner starts by the preemption alone
	again := q.Requeue(2, time.Second, begin)
	is.Equal(len(again.Start), 0)
	is.Equal(q.Waiting(), 1)
}

func TestNoHigherOrEqualTierIsPreempted(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.SetLimit(1, begin)
	stream := item(1, 2)
	stream.Resumable = true
	q.Arrive(stream, begin)
	q.MarkProducing(1)
	for id, tier := range map[uint64]int{2: 2, 3: 3} {
		hurried := item(id, tier)
		hurried.Due = begin
		is.Equal(len(q.Arrive(hurried, begin).Preempt), 0)
	}
}

// A stream that has begun is owed its end, however late: neither its deadline nor a full queue cuts it.
func TestStoppedStreamIsNeitherExpiredNorShed(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.TrickleShare = 0
	q.MaxWaiting = 1
	q.Reserve = 0
	q.SetLimit(1, begin)
	stream := item(1, 5)
	stream.Resumable = true
	stream.Deadline = begin.Add(2 * time.Second)
	q.Arrive(stream, begin)
	q.MarkProducing(1)
	hurried := item(2, 0)
	hurried.Due = begin
	is.Equal(len(q.Arrive(hurried, begin).Preempt), 1)
	is.Equal(len(q.Requeue(1, time.Second, begin).Refuse), 0)
	later := begin.Add(time.Minute)
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

// In a long overload every tier is served, each at least as often as the share allows.
func TestNoTierStarves(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.SetLimit(4, begin)
	served := map[uint64]int{}
	now := begin
	id := uint64(0)
	var running []uint64
	take := func(actions Actions) {
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
			take(q.Arrive(next, now))
		}
		if len(running) > 0 {
			done := running[0]
			running = running[1:]
			take(q.Done(done, now))
		}
	}
	for tier := range uint64(7) {
		is.True(served[tier] > 0)
	}
}

// Whatever arrives, ends and changes: no request is lost or answered twice, and no lower tier is kept for a higher one's loss.
func TestRandomLoadsLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		q.MaxWaiting = 8
		state := map[uint64]string{}
		tiers := map[uint64]int{}
		now := begin
		var apply func(actions Actions)
		apply = func(actions Actions) {
			for _, refusal := range actions.Refuse {
				if state[refusal.ID] != "waiting" {
					t.Fatalf("refused a request that is %q", state[refusal.ID])
				}
				state[refusal.ID] = "refused"
				if refusal.Reason == "queue full" && q.LowerTierWaiting(tiers[refusal.ID]) {
					t.Fatalf("tier %d refused for lack of room while a lower one waits", tiers[refusal.ID])
				}
			}
			for _, start := range actions.Start {
				if state[start.ID] != "waiting" {
					t.Fatalf("started a request that is %q", state[start.ID])
				}
				state[start.ID] = "running"
			}
			for _, p := range actions.Preempt {
				if tiers[p.Victim] <= tiers[p.Preemptor] {
					t.Fatal("preempted for a tier that is not higher")
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
				t.Fatalf("%s", fmt.Sprintf("%d run and %d wait, the queue says %d and %d", running, waiting, q.Running(), q.Waiting()))
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
