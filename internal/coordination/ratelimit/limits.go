package ratelimit

import (
	"maps"
	"math"
	"time"
)

const (
	// refreshTime is how much newer a repeated report has to be to count as newer. Reports lose the time that they were
	// under way, so that one that comes back to its origin looks a little newer.
	refreshTime = time.Second
	// endedLifetime is how long it is remembered that a limit has ended, so that an older report doesn't revive it.
	endedLifetime = 30 * time.Second
	// minLimit is the lowest limit in requests a second that is enforced, so that the end of a limit is noticed.
	minLimit = 1.0 / 30
)

// Upstream identifies one run of an upstream.
type Upstream struct {
	Name string
	Boot int
}

// Report is what nodes tell each other of an upstream's limit.
type Report struct {
	Upstream Upstream
	// Limit is in requests a second; 0 means that a limit has ended.
	Limit float64
	// Age is the time since the upstream last said so.
	Age time.Duration
}

// statement is what an upstream last said.
type statement struct {
	limit float64
	at    time.Time
}

// Limits holds the limits that upstreams have named. It is not safe for concurrent use.
type Limits struct {
	statements map[Upstream]statement
}

// Answered records the limit in an answer, 0 for none, and reports whether the limit has changed. The request was sent at
// the given time. A limit ends only by an answer to a request that was sent after the upstream last named it, since answers
// may overtake each other.
func (l *Limits) Answered(u Upstream, limit float64, sent, now time.Time) (changed bool) {
	known, found := l.statements[u]
	if limit <= 0 {
		if known.limit == 0 || !sent.After(known.at) {
			return false
		}
		l.statements[u] = statement{at: now}
		return true
	}
	limit = max(limit, minLimit)
	l.set(u, statement{
		limit: limit,
		at:    now,
	})
	return !found || known.limit != limit
}

func (l *Limits) set(u Upstream, s statement) {
	if l.statements == nil {
		l.statements = map[Upstream]statement{}
	}
	l.statements[u] = s
}

// Merge records what another node has told, if it is newer.
func (l *Limits) Merge(r Report, now time.Time) {
	limit := r.Limit
	if limit > 0 {
		limit = max(limit, minLimit)
	}
	at := now.Add(-max(r.Age, 0))
	known, found := l.statements[r.Upstream]
	switch {
	case limit <= 0 && (!found || known.limit == 0), math.IsNaN(limit):
		return
	case found && limit == known.limit && at.Sub(known.at) < refreshTime:
		return
	case found && !at.After(known.at):
		return
	}
	l.set(r.Upstream, statement{
		limit: max(limit, 0),
		at:    at,
	})
}

// Limit returns the limit of an upstream in requests a second, 0 for none.
func (l *Limits) Limit(u Upstream) float64 { return l.statements[u].limit }

// Empty reports whether no upstream has, or had of late, a limit.
func (l *Limits) Empty() bool { return len(l.statements) == 0 }

// Count returns the number of upstreams that have a limit.
func (l *Limits) Count() (count int) {
	for _, s := range l.statements {
		if s.limit > 0 {
			count++
		}
	}
	return count
}

// Report returns what to tell of an upstream that has a limit.
func (l *Limits) Report(u Upstream, now time.Time) (r Report, limited bool) {
	s := l.statements[u]
	return s.report(u, now), s.limit > 0
}

func (s statement) report(u Upstream, now time.Time) Report {
	return Report{
		Upstream: u,
		Limit:    s.limit,
		Age:      now.Sub(s.at),
	}
}

// Reports returns what to tell other nodes, and forgets limits that ended long ago.
func (l *Limits) Reports(now time.Time) []Report {
	maps.DeleteFunc(l.statements, func(_ Upstream, s statement) bool {
		return s.limit == 0 && now.Sub(s.at) >= endedLifetime
	})
	reports := make([]Report, 0, len(l.statements))
	for u, s := range l.statements {
		reports = append(reports, s.report(u, now))
	}
	return reports
}

// Prune forgets the upstreams that are not listed.
func (l *Limits) Prune(listed func(Upstream) bool) {
	maps.DeleteFunc(l.statements, func(u Upstream, _ statement) bool { return !listed(u) })
}
