package feed

import "time"

const (
	// fallbackDelay is how long after the end of a period the second node in the order of readers reads the store if
	// the first has not. Each further node waits fallbackStep longer, so that usually only one of them reads.
	fallbackDelay = 400 * time.Millisecond
	fallbackStep  = 150 * time.Millisecond
	// maxFallbackSteps limits the delay, so that every node's copy stays younger than three seconds.
	maxFallbackSteps = 4
	// maxPushRank is the last rank from which a node sends what it reads to all others in any case. On a site of hundreds of nodes
	// all further ones read at the same time once updates are late, and would make them later.
	maxPushRank = 8
	// minBackoff is the pause after the first failed read.
	minBackoff = 300 * time.Millisecond
	// MaxBackoff is the pause after many failed reads. It limits the load on a store that is unavailable. Together with
	// the longest call it is less than three seconds, within which a node must notice that the store is back.
	MaxBackoff = 1200 * time.Millisecond
)

// ReadSchedule decides when this node reads the store; it is not safe for concurrent use.
type ReadSchedule struct {
	// Period is the time between two reads of the store, by whichever node.
	Period time.Duration

	currentAt time.Time
	// heardAt is when a peer has sent something of the topic last, or this node has started.
	heardAt time.Time
	retryAt time.Time
	backoff time.Duration
}

// Due reports whether this node has to bring its copy up to date now.
func (s *ReadSchedule) Due(order Order, now time.Time) bool {
	return !now.Before(s.retryAt) && s.Age(now) >= s.Period+s.rankDelay(order.dueRank())
}

// ReadDue reports whether a due node has to read the store now. One that asks its region first does so if that has not helped, and
// later than those before it in its region.
func (s *ReadSchedule) ReadDue(order Order, now time.Time) bool {
	if !order.AsksRegion() {
		return true
	}
	return s.Age(now) >= s.Period+fallbackAfter(maxFallbackSteps+1+order.RegionRank-regionReaders)
}

// PushDue reports whether this node has to send what it reads to the other nodes. A node far down the order does so only where it
// has heard of no other reader for so long that those before it don't reach the store.
func (s *ReadSchedule) PushDue(rank int, now time.Time) bool {
	return rank <= maxPushRank || now.Sub(s.heardAt) >= s.Period+fallbackAfter(rank-1)
}

func (s *ReadSchedule) rankDelay(rank int) time.Duration {
	if rank <= 0 {
		return 0
	}
	return fallbackAfter(min(rank-1, maxFallbackSteps))
}

// fallbackAfter returns the delay of the node that comes a number of steps after the second one in the order of readers.
func fallbackAfter(steps int) time.Duration {
	return fallbackDelay + time.Duration(steps)*fallbackStep
}

// MarkHeard records that a peer has sent something of the topic.
func (s *ReadSchedule) MarkHeard(now time.Time) { s.heardAt = now }

// MarkCurrent records that the copy is current as of a time, after a read or a peer's update. One that is older than the copy
// before tells nothing.
func (s *ReadSchedule) MarkCurrent(at time.Time) {
	if !at.After(s.currentAt) {
		return
	}
	s.currentAt = at
	s.retryAt = time.Time{}
	s.backoff = 0
}

// MarkFailed records a failed read and doubles the backoff, up to MaxBackoff.
func (s *ReadSchedule) MarkFailed(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), MaxBackoff)
	s.retryAt = now.Add(s.backoff)
}

// Backoff returns the pause after the last failed read.
func (s *ReadSchedule) Backoff() time.Duration { return s.backoff }

// RetryIn returns how long to wait before the next read after a failed one, 0 if the last one did not fail.
func (s *ReadSchedule) RetryIn(now time.Time) time.Duration { return max(s.retryAt.Sub(now), 0) }

// CurrentAt returns when the copy was last current, the zero time if it never was.
func (s *ReadSchedule) CurrentAt() time.Time { return s.currentAt }

// Age returns the time since the copy was last current, or one hour if it never was.
func (s *ReadSchedule) Age(now time.Time) time.Duration {
	if s.currentAt.IsZero() {
		return time.Hour
	}
	return now.Sub(s.currentAt)
}
