package duty

import "time"

// ReadDone takes in what a read showed.
func (e *Election) ReadDone(view View, now Reading) {
	if e.known && view.Era < e.view.Era {
		return // An answer from before a restore of the store.
	}
	if !e.known || !view.sameLease(e.view) {
		e.leaseChanged(view, now)
	}
	e.view, e.known, e.current = view, true, true
	switch {
	case e.number != 0 && e.shownAsHolder(e.number):
		e.suspended = false
	case e.number != 0 && eraOf(e.number) != view.Era:
		e.restored(now)
	case e.number != 0:
		e.lose("the topic shows another lease", now)
	case e.releasing == 0 && e.shownAsHolder(view.Lease.Number) && view.Lease.Number > e.retired:
		e.adopt(now)
	}
}

// restored ends a lease of before a restore of the store, which may have lost a later one.
func (e *Election) restored(now Reading) {
	e.end("the store was restored from an older copy", e.wait(), now)
}

// sameLease reports whether two views show the same lease record.
func (v View) sameLease(other View) bool {
	v.End = other.End
	return v == other
}

// leaseChanged notes that a read shows another lease record than the one before. Another node's renewal counts like its
// call.
func (e *Election) leaseChanged(view View, now Reading) {
	e.seenAt = now.Boot
	lease := view.Lease
	if e.known && view.Era == e.view.Era && lease.Holder != e.Self && !lease.Released {
		e.noteHolder(lease.Holder, lease.Number, now)
	}
}

// shownAsHolder reports whether the topic shows that this start of this node has the lease with a number. A number from
// before a restore of the store is no longer in force: another node may have had a higher one that the store has lost.
func (e *Election) shownAsHolder(number int) bool {
	lease := e.view.Lease
	return e.own(lease) && lease.Number == number && eraOf(number) == e.view.Era &&
		(!lease.Claim || number == numberAt(e.view.Era, e.view.Offset))
}

// adopt takes over the lease of this node's claim that had no answer. It has to be renewed before it is in force.
func (e *Election) adopt(now Reading) {
	number := e.view.Lease.Number
	if e.closed || now.Boot < e.blockedUntil {
		e.retired = number
		e.releasing, e.releaseUntil = number, now.Boot+e.Lease
		return
	}
	e.gain(number)
}

func (e *Election) gain(number int) {
	e.number = number
	e.valid, e.suspended = false, false
}

// Appended takes in the result of an action that appends a lease record. The era is that of the store's answer.
func (e *Election) Appended(action Action, result Result, era int, now Reading) {
	record := action.Record
	if result == Invalid {
		e.current = false
		e.releasing = 0
		return
	}
	if !e.Saved(result, era, now) {
		return
	}
	e.view.Found, e.view.Offset, e.view.Lease = true, action.At, record
	e.seenAt = now.Boot
	switch {
	case record.Released:
		e.releasing = 0
		return
	case record.Claim && e.closed:
		e.adopt(now)
		return
	case record.Claim:
		e.gain(record.Number)
	}
	if record.Number == e.number {
		if !e.heldNow(now) {
			e.inForceAt = now.Boot
		}
		e.granted, e.renewedAt, e.valid = action.Sent, action.Sent.Boot, true
	}
}

// SaveAt returns the offset at which the partition must end for an append of another record. It returns false if this node
// does not hold the lease, or if the topic has to be read first, which needsRead tells.
func (e *Election) SaveAt(now Reading) (at int, needsRead, held bool) {
	if e.number == 0 || !e.suspended && !e.heldNow(now) {
		return 0, false, false
	}
	return e.view.End, !e.current, true
}

// Saved takes in the result of an append and reports whether the record is now the last one.
func (e *Election) Saved(result Result, era int, now Reading) bool {
	switch {
	case result == Invalid:
		return false
	case result == Done && era == e.view.Era:
		e.view.End++
		e.current = true
		e.failures = 0
		return true
	case result == Done && era > e.view.Era && e.number != 0:
		e.restored(now)
	}
	e.current = false
	if e.number != 0 || e.releasing != 0 {
		e.nextRead = now.Boot
		if result == Conflict {
			e.suspended = true
		} else {
			e.nextRead += e.retryDelay()
		}
	}
	return false
}

// retryDelay returns the time before the topic is read after an append without an answer. The first read comes at once,
// within the lease; it is doubled from the second on, so that a store that turns calls away gets fewer.
func (e *Election) retryDelay() time.Duration {
	e.failures++
	if e.failures == 1 {
		return 0
	}
	return min(holderReadInterval<<min(e.failures-2, maxRetryDoublings), maxRetryDelay)
}
