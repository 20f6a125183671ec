package duty

import (
	"slices"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
)

// ActionKind tells what a node is to do.
type ActionKind int

// The kinds of actions: nothing, a read of the newest records, and a conditional append of a lease record.
const (
	Wait ActionKind = iota
	Read
	Append
)

// Action is what a node is to do next.
type Action struct {
	Kind ActionKind
	// At is the offset at which the partition must end for an append, and Record the lease record to append.
	At     int
	Record wire.DutyLease
	// Sent is the reading of the clocks from which a lease that the append gains or renews counts.
	Sent Reading
}

// View is the topic as one read shows it.
type View struct {
	// End is the offset of the next record, and Era the era of the store.
	End int
	Era int
	// Found tells whether there is a lease record. Offset is its offset and Lease its content, which is zero if it can't be
	// decoded.
	Found  bool
	Offset int
	Lease  wire.DutyLease
}

// Result is the result of an append.
type Result int

// The results of an append: it was done, the partition ended elsewhere, the store will never accept it, or there was no
// usable answer, so that it may still be executed.
const (
	Done Result = iota
	Conflict
	Invalid
	Unknown
)

// Due returns the next action. The function live returns the live nodes, including this one.
func (e *Election) Due(now Reading, live func() []string) Action {
	switch {
	case e.releasing != 0:
		return e.dueRelease(now)
	case e.number != 0:
		e.heldNow(now) // notes whether the lease has run out
		return e.dueRenewal(now)
	case e.closed:
		return Action{}
	}
	return e.dueClaim(now, live)
}

// dueRead returns a read, if its time has come, and sets the time of the next one.
func (e *Election) dueRead(interval time.Duration, now Reading) Action {
	if now.Boot < e.nextRead {
		return Action{}
	}
	e.nextRead = now.Boot + interval
	return Action{Kind: Read}
}

func (e *Election) appendLease(record wire.DutyLease, now Reading) Action {
	record.Holder, record.Boot = e.Self, int(e.Boot)
	return Action{
		Kind:   Append,
		At:     e.view.End,
		Record: record,
		Sent:   now,
	}
}

func (e *Election) dueRenewal(now Reading) Action {
	if !e.current {
		return e.dueRead(holderReadInterval, now)
	}
	if e.valid && now.Boot-e.renewedAt < renewInterval {
		return Action{}
	}
	return e.appendLease(wire.DutyLease{Number: e.number}, now)
}

// dueRelease releases the lease, unless the topic shows that another node has taken it, or the others have waited for its
// end anyway.
func (e *Election) dueRelease(now Reading) Action {
	if now.Boot >= e.releaseUntil {
		e.releasing = 0
		return Action{}
	}
	if !e.current {
		return e.dueRead(holderReadInterval, now)
	}
	if !e.own(e.view.Lease) || e.view.Lease.Number != e.releasing {
		e.releasing = 0
		return Action{}
	}
	return e.appendLease(wire.DutyLease{
		Number:   e.releasing,
		Released: true,
	}, now)
}

func (e *Election) dueClaim(now Reading, live func() []string) Action {
	// A node that may not claim yet reads in time before, so that it knows then for how long the lease has not changed.
	if now.Boot < e.blockedUntil-e.wait()-readInterval || now.Boot < e.heardAt+e.Lease && !e.called {
		return Action{}
	}
	names := live()
	silentSince, silent := e.silence(names, now)
	if !silent {
		return Action{}
	}
	rank := rankOf(e.Self, names)
	if now.Boot < silentSince+e.delay(rank) {
		return Action{}
	}
	if e.current && now.Boot >= e.blockedUntil && e.mayClaim(now) {
		return e.appendLease(wire.DutyLease{
			Claim:  true,
			Number: numberAt(e.view.Era, e.view.End),
		}, now)
	}
	return e.dueRead(min(readInterval+time.Duration(rank)*readIntervalStep, maxReadInterval), now)
}

// silence returns since when this node has heard no live holder for long enough, and whether there is such a time. A holder
// that the members take for dead or leaving counts as silent at once, if it is known from its calls: a node that is cut off
// from its peers knows the holder from the topic alone, and would read it all the time.
func (e *Election) silence(live []string, now Reading) (since time.Duration, silent bool) {
	since = e.heardAt + e.Lease
	if e.called && !slices.Contains(live, e.heardHolder) {
		if !e.gone {
			e.gone, e.goneAt = true, now.Boot
		}
		since = min(since, e.goneAt)
	} else {
		e.gone = false
	}
	return since, now.Boot >= since
}

// mayClaim reports whether no holder can be acting under the lease that the topic shows. A released lease is free at once,
// but not after a restore, which may have brought back an old release, nor to a node that has just started, which may have
// been the holder a moment ago.
func (e *Election) mayClaim(now Reading) bool {
	lease := e.view.Lease
	if lease.Released && eraOf(lease.Number) == e.view.Era && now.Boot-e.startedAt >= e.wait() {
		return true
	}
	return now.Boot-e.seenAt >= e.wait()
}

// delay returns how much longer than others a node waits by its rank.
func (e *Election) delay(rank int) time.Duration {
	delay := min(time.Duration(rank)*rankDelay, maxRankDelay)
	if e.Small {
		delay += smallDelay
	}
	return delay
}

// rankOf returns the number of live nodes that go before a node by rendezvous hashing.
func rankOf(self string, live []string) int {
	const key = "duties"
	own := rendezvous.Score(key, self)
	rank := 0
	for _, name := range live {
		if score := rendezvous.Score(key, name); score > own || score == own && name < self {
			rank++
		}
	}
	return rank
}
