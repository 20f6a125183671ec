package duty

import "time"

const (
	// minBackoff and maxBackoff limit the time without calls after one that failed or was turned away.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// unreachableCalls is how many calls in a row must have had no answer before the platform API counts as unreachable.
	unreachableCalls = 2
)

// Pace limits the calls of the holder to the platform API. Its times are those of one clock of the node. It is not safe
// for concurrent use.
type Pace struct {
	// PerSecond is the number of calls that the platform API takes in a second, 0 for no limit.
	PerSecond float64

	tokens   float64
	filledAt time.Duration
	filled   bool
	backoff  time.Duration
	// pausedUntil is when the back-off ends, and pausedAt when it began.
	pausedUntil time.Duration
	pausedAt    time.Duration
	// failedSince is when the first of the unanswered calls in a row began.
	failedSince time.Duration
	unanswered  int
}

// Reset forgets the results of earlier calls, when the node has become the holder anew.
func (p *Pace) Reset() {
	p.backoff, p.unanswered, p.pausedUntil = 0, 0, 0
}

// Allow reports whether a call may be sent now, and counts it. A bucket of half the limit that is filled at half the limit
// lets through no more than the limit in any second.
func (p *Pace) Allow(now time.Duration) bool {
	if now < p.pausedUntil {
		return false
	}
	if p.PerSecond <= 0 {
		return true
	}
	half := p.PerSecond / 2
	size := max(half, 1)
	if !p.filled {
		p.tokens, p.filled = size, true
	} else {
		p.tokens = min(p.tokens+half*(now-p.filledAt).Seconds(), size)
	}
	p.filledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Answered notes that a call was answered and accepted, refused or rejected.
func (p *Pace) Answered() {
	p.backoff, p.unanswered = 0, 0
}

// TurnedAway notes that a call that began at a time was answered with a request for fewer calls or a failure.
func (p *Pace) TurnedAway(began, now time.Duration) {
	p.unanswered = 0
	p.pause(began, now)
}

// Unanswered notes that a call that began at a time had no answer.
func (p *Pace) Unanswered(began, now time.Duration) {
	if p.unanswered == 0 {
		p.failedSince = began
	}
	p.unanswered++
	p.pause(began, now)
}

// pause doubles the back-off, once for all calls that were sent before it began.
func (p *Pace) pause(began, now time.Duration) {
	if p.backoff > 0 && began < p.pausedAt {
		return
	}
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.pausedAt, p.pausedUntil = now, now+p.backoff
}

// Unreachable returns for how long no call has been answered, 0 if the last one was.
func (p *Pace) Unreachable(now time.Duration) time.Duration {
	if p.unanswered < unreachableCalls {
		return 0
	}
	return now - p.failedSince
}
