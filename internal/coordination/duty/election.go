package duty

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

const (
	// startDelay is the time after its start in which a node hears of the other members, before it ranks itself.
	startDelay = time.Second
	// rankDelay is how much longer a node waits than the one before it in rank, up to maxRankDelay.
	rankDelay    = 500 * time.Millisecond
	maxRankDelay = 8 * time.Second
	// smallDelay is how much longer a node with less than half a core waits, since the holder does the most work.
	smallDelay = time.Second
	// readInterval is the time between two reads of a node that waits for the lease. It grows by rank, so that the nodes
	// of a large site together read less than a hundred times a second.
	readInterval     = 500 * time.Millisecond
	readIntervalStep = 100 * time.Millisecond
	maxReadInterval  = 4 * time.Second
	// holderReadInterval is the time between two reads of a holder after one that failed.
	holderReadInterval = 200 * time.Millisecond
	// maxRetryDelay limits the time before such a read when appends have had no answer, and maxRetryDoublings how often it
	// is doubled.
	maxRetryDelay     = 2 * time.Second
	maxRetryDoublings = 4
	// renewInterval is the time between two renewals.
	renewInterval = time.Second
	// unreachableLimit is the time after which a holder that can't reach the platform API releases the lease, and
	// unreachablePause the time in which it does not claim again.
	unreachableLimit = 3 * time.Second
	unreachablePause = 10 * time.Second
)

// Election decides for one node when to read the topic of the lease, when to claim, renew or release the lease, and
// whether the node holds it. The owner performs the action that Due returns and reports its result before it asks for the
// next one. It is not safe for concurrent use.
type Election struct {
	// Self is the name of this node, and Boot a number of this start of it.
	Self string
	Boot uint64
	// Lease is the length of a lease. The holder stops Margin before its end, and other nodes wait Margin longer.
	Lease  time.Duration
	Margin time.Duration
	// Small tells that the node has less than half a core.
	Small bool

	startedAt time.Duration
	closed    bool

	// view is the topic as far as this node knows, and current tells that no append of unknown result and no conflict has
	// followed.
	view    View
	known   bool
	current bool
	// seenAt is when the newest lease record was first seen, or when the store was first seen in its era.
	seenAt   time.Duration
	nextRead time.Duration
	// failures is the number of the holder's appends in a row that had no answer.
	failures int

	heardAt     time.Duration
	heardHolder string
	heardNumber int
	// called tells that the last sign of the holder was a call. If the holder is no live member any more, gone is set, and
	// goneAt is when that was noticed.
	called bool
	gone   bool
	goneAt time.Duration

	// number is the number of this node's lease, 0 for none.
	number int
	// granted is the reading of the clocks before the claim or the last confirmed renewal was sent. If valid is not set,
	// the lease was found in the topic and is not in force until it has been renewed.
	granted Reading
	valid   bool
	// inForceAt is since when the lease has been in force without a break, renewedAt when it was last renewed.
	inForceAt time.Duration
	renewedAt time.Duration
	// suspended is set after a conflict until a read has shown who holds the lease.
	suspended bool
	// retired is the highest number that this node has given up or lost.
	retired int
	// releasing is the number of a lease that is still to be released in the topic, until releaseUntil.
	releasing    int
	releaseUntil time.Duration
	// blockedUntil is the time until which this node does not claim.
	blockedUntil time.Duration
	// reason is why the lease was lost last.
	reason string
}

// Start must be called first.
func (e *Election) Start(now Reading) {
	e.startedAt = now.Boot
	// The wait for the first sign of a holder is shortened to startDelay.
	e.heardAt = max(e.heardAt, now.Boot+startDelay-e.Lease)
}

// wait is how long a lease record must have remained unchanged before another node claims.
func (e *Election) wait() time.Duration { return e.Lease + e.Margin }

// Held returns the number of this node's lease, and whether it is in force. A lease that was once seen to have run out
// remains so until it is renewed, even if the wall clock is set back.
func (e *Election) Held(now Reading) (number int, held bool) {
	if now.since(e.granted) >= e.Lease-e.Margin {
		e.valid = false
	}
	if e.number == 0 || !e.valid || e.suspended {
		return 0, false
	}
	return e.number, true
}

func (e *Election) heldNow(now Reading) bool {
	_, held := e.Held(now)
	return held
}

// Number returns the number of this node's lease, in force or to be renewed, 0 for none.
func (e *Election) Number() int { return e.number }

// Reason returns why this node lost or gave up the lease last.
func (e *Election) Reason() string { return e.reason }

// Holder returns the holder that this node heard or read of last, and its number. The name is empty after a release.
func (e *Election) Holder() (name string, number int) {
	lease := e.view.Lease
	switch {
	case e.number != 0:
		return e.Self, e.number
	case e.heardNumber > lease.Number:
		return e.heardHolder, e.heardNumber
	case lease.Released:
		return "", lease.Number
	}
	return lease.Holder, lease.Number
}

// Heard notes a call of a holder with its number. Calls of a holder with a lower number than was heard before are ignored.
func (e *Election) Heard(holder string, number int, now Reading) {
	if e.noteHolder(holder, number, now) {
		e.called = true
	}
}

// noteHolder notes a sign of a holder and reports whether it is of the newest one.
func (e *Election) noteHolder(holder string, number int, now Reading) bool {
	if holder == e.Self || number < e.heardNumber || number <= e.retired {
		return false
	}
	e.heardAt, e.heardHolder, e.heardNumber = now.Boot, holder, number
	e.called, e.gone = false, false
	switch {
	case e.number != 0 && number > e.number:
		e.lose("a node with a higher number was heard", now)
	case e.number == 0 && e.releasing == 0:
		e.current = false
	}
	return true
}

// Refused notes that the platform API has refused a number for a higher one.
func (e *Election) Refused(number int, now Reading) {
	if number != 0 && number == e.number {
		e.giveUp("the platform API has seen a higher number", e.wait(), now)
	}
}

// Unreachable notes for how long the platform API can't be reached. Time in which the lease was not in force does not
// count: a node that was frozen could not make any calls.
func (e *Election) Unreachable(since time.Duration, now Reading) {
	if e.heldNow(now) && since >= unreachableLimit && now.Boot-e.inForceAt >= unreachableLimit {
		e.giveUp("the platform API or too many nodes can't be reached", unreachablePause, now)
	}
}

// Close gives up the lease for good.
func (e *Election) Close(now Reading) {
	if e.closed {
		return
	}
	e.closed = true
	if e.number != 0 {
		e.giveUp("this node is leaving", e.wait(), now)
	}
}

// Current reports whether the last read still shows the topic as far as this node knows. A node that hears a holder does
// not need to keep what it read.
func (e *Election) Current() bool { return e.current }

// giveUp ends the holdership and has the lease released in the topic.
func (e *Election) giveUp(reason string, pause time.Duration, now Reading) {
	e.releasing, e.releaseUntil = e.number, now.Boot+e.Lease
	e.end(reason, pause, now)
}

// lose ends the holdership after another node has taken the lease.
func (e *Election) lose(reason string, now Reading) {
	e.heardAt = max(e.heardAt, now.Boot)
	e.end(reason, e.wait(), now)
}

// end ends the holdership. The pause keeps the order of the holders: this node does not act again while calls of the next
// holder are close to its own.
func (e *Election) end(reason string, pause time.Duration, now Reading) {
	e.retired = max(e.retired, e.number)
	e.number, e.valid, e.suspended = 0, false, false
	e.reason = reason
	e.blockedUntil = max(e.blockedUntil, now.Boot+pause)
}

// own reports whether a lease record is of this start of this node and in force.
func (e *Election) own(lease wire.DutyLease) bool {
	return lease.Holder == e.Self && lease.Boot == int(e.Boot) && !lease.Released
}
