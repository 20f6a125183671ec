package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sameCrashTime is the time within which two reports about an upstream are about the same crash, however long they
	// were under way; a crashed upstream seldom runs again sooner.
	sameCrashTime = 3 * time.Second
	// burstTime is the time within which crashes count as one, since upstreams that fail together fail for a reason of
	// their own.
	burstTime = 100 * time.Millisecond
	// minCrashes is the number of crashes after which a part is quarantined, minCrashesOfPassed the same for a part whose
	// answers have gone well before, and for a request, since any that waits at an upstream breaks off when it crashes.
	minCrashes         = 2
	minCrashesOfPassed = 3
	// baseLength is the length of the first quarantine of a cause; it doubles with each failed probe up to maxLength.
	baseLength = 30 * time.Second
	maxLength  = 5 * time.Minute
	// twinLength is the length of the quarantine of requests of which any may be the cause, so that a probe soon tells which.
	twinLength = 2 * time.Second
	// probeTime is how long after a quarantine requests with the cause are sent as probes only.
	probeTime = maxLength
	// suspicionTime is how long a crash counts that has led to no quarantine.
	suspicionTime = time.Minute
	// maxCrashes is the number of crashes kept for one cause, the newest ones.
	maxCrashes = 6
)

// Kind is what may crash an upstream.
type Kind int

// The kinds of causes.
const (
	// Part is a shared part of prompts.
	Part Kind = iota
	// Repeat is a request that comes again.
	Repeat
	kinds
)

// Cause identifies what may crash the upstreams of one pool.
type Cause struct {
	Pool string
	Kind Kind
	// ID is the ID of the part, or the digest of the request.
	ID uint64
}

// Crash is the crash of an upstream at which the cause was at work.
type Crash struct {
	Upstream string
	Age      time.Duration
	// Cleared reports that a request with the cause went well later.
	Cleared bool
}

// Row is the evidence about one cause that nodes exchange. Merging rows is commutative and idempotent.
type Row struct {
	Cause Cause
	// Passed reports that a request with the cause went well, before the crashes or after them.
	Passed  bool
	Crashes []Crash
	// Probe is the last probe, nil if there was none.
	Probe *Probe
}

// Probe is a request that was sent to find out whether a cause still crashes upstreams.
type Probe struct {
	Age time.Duration
	// Ended reports that the request runs no more, whether or not it had a result.
	Ended bool
}

// crash is a Crash with its time.
type crash struct {
	upstream string
	at       time.Time
	cleared  bool
}

// same reports whether two reports are about the same crash.
func (c *crash) same(other *crash) bool {
	return c.upstream == other.upstream && c.at.Sub(other.at).Abs() < sameCrashTime
}

// evidence is what is known about one cause.
type evidence struct {
	kind   Kind
	passed bool
	// crashes is in the order of time.
	crashes []crash
	// restriction follows from the crashes that count, retention from all: it tells how long the evidence is kept.
	restriction restriction
	retention   restriction
	probe       lastProbe
}

// lastProbe is a Probe with its time, which is zero for none.
type lastProbe struct {
	at    time.Time
	ended bool
}

// merge returns the later one of two probes. Those sent within sameCrashTime count as one.
func (p lastProbe) merge(other lastProbe) lastProbe {
	switch later := other.at.Sub(p.at); {
	case later >= sameCrashTime:
		return other
	case later <= -sameCrashTime:
		return p
	}
	if other.at.Before(p.at) {
		p.at = other.at
	}
	p.ended = p.ended || other.ended
	return p
}

// restriction is the quarantine of a cause; it is zero for none.
type restriction struct {
	crashes int
	until   time.Time
	length  time.Duration
}

// end is when the cause is forgotten unless a probe decides before.
func (r restriction) end() time.Time { return r.until.Add(probeTime) }

// add merges a report of a crash, and reports whether it changed anything.
func (e *evidence) add(reported crash) (changed bool) {
	for i := range e.crashes {
		known := &e.crashes[i]
		if !known.same(&reported) {
			continue
		}
		changed = reported.cleared && !known.cleared
		known.cleared = known.cleared || reported.cleared
		if reported.at.Before(known.at) {
			known.at = reported.at
		}
		return changed
	}
	if len(e.crashes) == maxCrashes && reported.at.Before(e.crashes[0].at) {
		return false
	}
	e.crashes = append(e.crashes, reported)
	slices.SortFunc(e.crashes, func(a, b crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.upstream, b.upstream))
	})
	if len(e.crashes) > maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, len(e.crashes)-maxCrashes)
	}
	return true
}

// clear marks the crashes up to a time as cleared, and reports whether it changed anything.
func (e *evidence) clear(upTo time.Time) (changed bool) {
	e.passed = true
	for i := range e.crashes {
		if c := &e.crashes[i]; !c.cleared && !c.at.After(upTo) {
			c.cleared = true
			changed = true
		}
	}
	return changed
}

// expired reports whether the evidence is to be forgotten. It depends on no clearing, so that all nodes forget at the
// same time.
func (e *evidence) expired(now time.Time) bool {
	if e.retention != (restriction{}) {
		return !now.Before(e.retention.end())
	}
	return len(e.crashes) == 0 || now.Sub(e.newest()) >= suspicionTime
}

// newest returns the time of the last crash.
func (e *evidence) newest() time.Time { return e.crashes[len(e.crashes)-1].at }

// class returns how important the evidence is, 0 for the most important: that of a quarantined cause, of one that may
// crash upstreams as far as is known, of one that has gone well before, and of one that has gone well since.
func (e *evidence) class() int {
	switch {
	case e.restriction != (restriction{}):
		return 0
	case !slices.ContainsFunc(e.crashes, crash.counts):
		return 3
	case e.passed:
		return 2
	}
	return 1
}

// restrict returns the quarantine that follows from crashes in the order of time. A crash before the end of the quarantine
// is that of a request sent earlier; a later one is that of a probe.
func restrict(times []time.Time, needed int) (r restriction) {
	var last time.Time
	for _, at := range times {
		if r.crashes > 0 && at.Sub(last) < burstTime {
			continue
		}
		if r.crashes < needed && at.Sub(last) >= suspicionTime {
			r.crashes = 0
		}
		last = at
		r.crashes++
		switch {
		case r.crashes < needed:
			continue
		case r.crashes == needed:
			r.length = baseLength
		case !at.Before(r.until):
			r.length = min(2*r.length, maxLength)
		}
		r.until = at.Add(r.length)
	}
	if r.crashes < needed {
		return restriction{}
	}
	return r
}
