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
}

// explained reports whether a likelier cause was at work at the same crash: one that never went well rather than one that
// did, then one with more crashes.
func explained(c crash, by *evidence, quarantined []*evidence) bool {
	return slices.ContainsFunc(quarantined, func(other *evidence) bool {
		likelier := other.restriction.crashes > by.restriction.crashes
		if other.passed != by.passed {
			likelier = by.passed
		}
		return likelier &&
			slices.ContainsFunc(other.crashes, func(theirs crash) bool { return theirs.counts() && theirs.same(&c) })
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
