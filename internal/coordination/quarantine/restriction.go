package quarantine

import (
	"slices"
	"time"
)

// restrictAll derives the quarantines from the evidence. A crash that a cause with more crashes explains does not count
// against the others that were at work.
func (r *Registry) restrictAll() {
	for _, e := range r.causes {
		e.retention = restrict(e.times(func(crash) bool { return true }), e.neededAtFirst())
		e.restriction = restrict(e.times(crash.counts), e.needed())
	}
	var quarantined []*evidence
	for _, e := range r.causes {
		if e.restriction != (restriction{}) {
			quarantined = append(quarantined, e)
		}
	}
	updated := make([]restriction, len(quarantined))
	for i, e := range quarantined {
		updated[i] = restrict(e.times(func(c crash) bool { return c.counts() && !explained(c, e, quarantined) }), e.needed())
	}
	for i, e := range quarantined {
		e.restriction = updated[i]
	}
	for i, e := range quarantined {
		if updated[i] != (restriction{}) && hasTwin(e, quarantined) {
			e.restriction.until = e.newest().Add(twinLength)
		}
	}
}

// hasTwin reports whether another request was at work at the same crashes, so that either may be the cause of all of them.
func hasTwin(e *evidence, quarantined []*evidence) bool {
	return e.kind == Repeat && slices.ContainsFunc(quarantined, func(other *evidence) bool {
		return other != e && other.kind == Repeat && other.restriction.crashes == e.restriction.crashes &&
			!slices.ContainsFunc(e.crashes, func(c crash) bool { return c.counts() && !other.crashedAt(c) })
	})
}

// crashedAt reports whether the cause was at work at a crash, and nothing has cleared it of that since.
func (e *evidence) crashedAt(c crash) bool {
	return slices.ContainsFunc(e.crashes, func(own crash) bool { return own.counts() && own.same(&c) })
}

// explained reports whether a likelier cause was at work at the same crash: one that never went well rather than one that
// did, then one with more crashes.
func explained(c crash, by *evidence, quarantined []*evidence) bool {
	return slices.ContainsFunc(quarantined, func(other *evidence) bool {
		likelier := other.restriction.crashes > by.restriction.crashes
		if other.passed != by.passed {
			likelier = by.passed
		}
		return likelier && other.crashedAt(c)
	})
}

// counts reports whether no request with the cause has gone well since the crash.
func (c crash) counts() bool { return !c.cleared }

// needed returns how many crashes quarantine the cause.
func (e *evidence) needed() int {
	if e.passed {
		return minCrashesOfPassed
	}
	return e.neededAtFirst()
}

// neededAtFirst returns how many crashes quarantine a cause of this kind that is not known to have gone well.
func (e *evidence) neededAtFirst() int {
	if e.kind == Repeat {
		return minCrashesOfPassed
	}
	return minCrashes
}

// times returns the times of the crashes that are included.
func (e *evidence) times(include func(crash) bool) []time.Time {
	times := make([]time.Time, 0, len(e.crashes))
	for _, c := range e.crashes {
		if include(c) {
			times = append(times, c.at)
		}
	}
	return times
}
