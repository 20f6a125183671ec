package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newHolder(now time.Time) *Grants {
	g := &Grants{Self: "a"}
	for at := now.Add(-2 * takeoverDelay); !at.After(now); at = at.Add(modelTick) {
		g.Tick([]string{"a"}, 1, at)
	}
	return g
}

func place(slots int) Place {
	return Place{
		Upstream: modelUpstream,
		Slots:    slots,
		Refusals: 4,
		Lease:    10 * second,
	}
}

// TestPlacesAreAsManyAsTheUpstreamRuns guards against more requests at a brittle upstream than it has room for, and against
// places that are lost for good.
func TestPlacesAreAsManyAsTheUpstreamRuns(t *testing.T) {
	is := is.New(t)
	g := newHolder(start)
	var tickets []uint64
	for range 3 {
		grant := g.TakePlace(place(3), start)
		is.True(grant.Granted)
		tickets = append(tickets, grant.Ticket)
	}
	denied := g.TakePlace(place(3), start)
	is.True(!denied.Granted && denied.Wait > 0)
	g.Release(modelUpstream, tickets[1], false, start)
	g.Release(modelUpstream, tickets[1], false, start) // a place is returned once
	is.True(g.TakePlace(place(3), start).Granted)
	is.True(!g.TakePlace(place(3), start).Granted)
	is.True(g.TakePlace(place(3), start.Add(10*second)).Granted) // the leases have ended
	g.Release(Upstream{Name: "unknown"}, 1, true, start)
}

// TestLoadThatTheUpstreamTellsTakesRoom guards against requests that were sent before the room was shared out.
func TestLoadThatTheUpstreamTellsTakesRoom(t *testing.T) {
	is := is.New(t)
	g := newHolder(start)
	loaded := func(running, waiting int, now time.Time) bool {
		p := place(4)
		p.Load = ServerLoad{
			Running: running,
			Waiting: waiting,
			Slots:   4,
			At:      now,
		}
		grant := g.TakePlace(p, now)
		g.Release(modelUpstream, grant.Ticket, false, now)
		return grant.Granted
	}
	is.True(loaded(3, 0, start))
	is.True(!loaded(4, 0, start.Add(second)))
	is.True(!loaded(2, 1, start.Add(2*second))) // for want of something else than slots
	is.True(g.TakePlace(place(4), start.Add(2*second+loadLifetime)).Granted)
}

// TestRefusalsCloseTheRoom guards against further requests at a brittle upstream that has begun to turn some away.
func TestRefusalsCloseTheRoom(t *testing.T) {
	is := is.New(t)
	g := newHolder(start)
	for i := range 2 {
		grant := g.TakePlace(place(8), start)
		is.True(grant.Granted)
		g.Release(modelUpstream, grant.Ticket, true, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	denied := g.TakePlace(place(8), start.Add(200*time.Millisecond))
	is.True(!denied.Granted)
	is.Equal(denied.Wait, 800*time.Millisecond)
	is.True(g.TakePlace(place(8), start.Add(refusalWindow)).Granted)
}

// TestRoomOfALostHolderIsNotGivenTwice guards against two nodes that give the same places: one that takes over waits, one that
// has lost some of the others keeps to its part, and one that isn't the holder gives none.
func TestRoomOfALostHolderIsNotGivenTwice(t *testing.T) {
	is := is.New(t)
	g := newHolder(start)
	g.Tick([]string{"a"}, 2, start.Add(modelTick)) // another node is believed dead
	at := start.Add(2 * modelTick)
	is.True(g.TakePlace(place(2), at).Granted)
	is.True(!g.TakePlace(place(2), at).Granted)

	paused := newHolder(start)
	before := paused.TakePlace(place(1), start)
	is.True(before.Granted)
	woken := start.Add(2 * pauseTime)
	paused.Tick([]string{"a"}, 1, woken)
	grant := paused.TakePlace(place(1), woken)
	is.True(!grant.Granted)
	is.Equal(grant.Wait, takeoverDelay)
	woken = woken.Add(takeoverDelay)
	is.True(paused.TakePlace(place(1), woken).Granted)
	paused.Release(modelUpstream, before.Ticket, false, woken) // not the place that was given since
	is.True(!paused.TakePlace(place(1), woken).Granted)

	other := &Grants{Self: "a"}
	other.Tick([]string{"b"}, 1, start)
	is.True(!other.TakePlace(place(2), start.Add(2*takeoverDelay)).Granted)
}
