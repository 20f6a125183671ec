package feed

import "time"

const (
	// standInAfter is how much older than a period the copy of a node may get before it reads the store itself, and
	// standInStep what each further node in the order waits longer, so that one of them is usually enough.
	standInAfter = 400 * time.Millisecond
	standInStep  = 150 * time.Millisecond
	// maxSteps bounds the wait, so that a bound of three seconds is met by every node.
	maxSteps = 4
	// failedPause is the pause after the first failed read.
	failedPause = 300 * time.Millisecond
	// MaxBackoff is the pause after many failed reads: a store that is away is not made worse, and its return is seen
	// within the bound of three seconds, together with the longest wait for a call.
	MaxBackoff = 1200 * time.Millisecond
)

// ReadSchedule decides when this node reads the store; it is not safe for concurrent use.
type ReadSchedule struct {
	// Period is the time between two reads of all nodes together.
	Period time.Duration

	confirmed time.Time
	retryAt   time.Time
	pause     time.Duration
}

// Due reports whether this node reads now; rank is its place in the order of readers, 0 first.
func (t *ReadSchedule) Due(rank int, now time.Time) bool {
	return !now.Before(t.retryAt) && t.Age(now) >= t.Period+t.grace(rank)
}

func (t *ReadSchedule) grace(rank int) time.Duration {
	if rank <= 0 {
		return 0
	}
	return standInAfter + time.Duration(min(rank-1, maxSteps))*standInStep
}

// MarkCurrent notes that the copy was found current, by a read or by a peer's word.
func (t *ReadSchedule) MarkCurrent(now time.Time) {
	t.confirmed = now
	t.retryAt = time.Time{}
	t.pause = 0
}

// MarkFailed notes that a read failed.
func (t *ReadSchedule) MarkFailed(now time.Time) {
	t.pause = min(max(2*t.pause, failedPause), MaxBackoff)
	t.retryAt = now.Add(t.pause)
}

// Backoff returns how long to wait after the last failed read.
func (t *ReadSchedule) Backoff() time.Duration { return t.pause }

// Age returns the time since the copy was last found current; it is very long before the first time.
func (t *ReadSchedule) Age(now time.Time) time.Duration {
	if t.confirmed.IsZero() {
		return time.Hour
	}
	return now.Sub(t.confirmed)
}
