package routing

import (
	"sync"
	"time"
)

// LinkBudget is the byte budget of the slow link between regions; lower tiers leave more of it untouched.
type LinkBudget struct {
	// BytesPerSecond is this node's share of the link, zero for no limit.
	BytesPerSecond float64
	// Burst is the number of bytes that may be saved up.
	Burst float64

	mu      sync.Mutex
	level   float64
	at      time.Time
	started bool
	used    int64
}

const tierReserve = 0.08

// Allows reports whether a request of a tier may use the link now.
func (l *LinkBudget) Allows(tier, bytes int, now time.Time) bool {
	if l == nil || l.BytesPerSecond <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fill(now)
	kept := min(float64(tier)*tierReserve, 0.9) * l.Burst
	return l.level-float64(bytes) >= kept
}

// Spend takes bytes from the budget; the level may fall below zero, as the length of an answer is not known before.
func (l *LinkBudget) Spend(bytes int, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fill(now)
	l.level -= float64(bytes)
	l.used += int64(bytes)
}

// Used returns the bytes sent over the link so far.
func (l *LinkBudget) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

func (l *LinkBudget) fill(now time.Time) {
	if !l.started {
		l.level = l.Burst
		l.started = true
	} else if passed := now.Sub(l.at); passed > 0 {
		l.level = min(l.level+passed.Seconds()*l.BytesPerSecond, l.Burst)
	}
	l.at = now
}
