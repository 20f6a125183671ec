package origin

import (
	"math/rand/v2"
	"time"
)

const (
	// earlyDelay is the time from a stream's beginning until it may be appended early: several that begin together go into
	// one batch.
	earlyDelay = 50 * time.Millisecond
	// earlyInterval is the least time between two early batches of a node that knows of up to earlyNodes others. With more
	// it grows, so that all nodes together leave the store to other writes.
	earlyInterval = 100 * time.Millisecond
	earlyNodes    = 8
	// earlyKeys is the number of keys that a process writes in turn, and earlyGroups that of the groups of keys, of which each
	// process draws one.
	earlyKeys   = 8
	earlyGroups = 1 << 40
)

// EarlyLog decides on the appends of a node's own streams while no node has been the writer of the log for long enough to append
// the streams of all. They go to keys beyond the slots of the log, so that nodes don't overwrite each other's. It is not safe for
// concurrent use.
type EarlyLog struct {
	backlog
	// group is the group of keys of this process, which no former one of its node has written to, 0 before it is drawn.
	group   int
	written int
}

// Add adds a stream that has just begun.
func (l *EarlyLog) Add(report Report, now time.Time) {
	if len(l.pending) == 0 && l.dueAt.Before(now.Add(earlyDelay)) {
		l.dueAt = now.Add(earlyDelay)
	}
	l.add(report)
}

// Retire drops the streams that wait, except those of an append in flight: the writer appends them.
func (l *EarlyLog) Retire() { l.retire() }

// Waiting reports whether streams wait that are not being appended, and until when.
func (l *EarlyLog) Waiting() (until time.Time, waiting bool) {
	return l.dueAt, l.waiting()
}

// Due returns the streams of the next batch and the key to write it to, if one is due now. Done must be called after it.
func (l *EarlyLog) Due(now time.Time) (batch []Report, key int, due bool) {
	if until, waiting := l.Waiting(); !waiting || now.Before(until) {
		return nil, 0, false
	}
	if l.group == 0 {
		l.group = 1 + rand.IntN(earlyGroups)
	}
	return l.take(), l.key(l.written % earlyKeys), true
}

// key returns one of the process's own keys.
func (l *EarlyLog) key(i int) int { return logSlots + l.group*earlyKeys + i }

// Written returns the keys that this process has written to.
func (l *EarlyLog) Written() (keys []int) {
	for i := range min(l.written, earlyKeys) {
		keys = append(keys, l.key(i))
	}
	return keys
}

// Done records whether the batch was appended, while the given number of nodes is known. One that was not is due again.
func (l *EarlyLog) Done(appended bool, nodes int, now time.Time) {
	l.done(appended, now)
	if !appended {
		return
	}
	l.written++
	l.dueAt = now.Add(earlyInterval * time.Duration(max(nodes, earlyNodes)) / earlyNodes)
}

// IsEarly reports whether a key of the log is one of those beyond its slots.
func IsEarly(key int) bool { return key >= logSlots }
