package usage

import "time"

const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// backoff delays calls after failures, longer after each.
type backoff struct {
	wait  time.Duration
	until time.Time
}

// passed reports whether a call may be made.
func (b *backoff) passed(now time.Time) bool { return !now.Before(b.until) }

func (b *backoff) fail(now time.Time) {
	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	b.until = now.Add(b.wait)
}

func (b *backoff) succeed() { *b = backoff{} }
