package routing

import (
	"sync"
	"time"
)

// LinkBudget is a token bucket, in bytes, for the slow link between regions. Lower priority tiers have to leave a
// larger part of the bucket unused. Allows and Spend treat a nil LinkBudget as unlimited.
type LinkBudget struct {
	// BytesPerSecond is this node's share of the bandwidth of the link, zero for no limit.
	BytesPerSecond float64
	// Burst is the capacity of the bucket in bytes.
	Burst float64

	mu        sync.Mutex
	available float64
	updatedAt time.Time
	started   bool
	used      int64
}

// reservePerTier is the additional share of the burst that each lower tier leaves unused.
const reservePerTier = 0.08

// Allows reports whether a request of a priority tier may send bytes over the link now.
func (l *LinkBudget) Allows(tier, bytes int, now time.Time) bool {
	if l == nil || l.BytesPerSecond <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	reserved := min(float64(tier)*reservePerTier, 0.9) * l.Burst
	return l.available-float64(bytes) >= reserved
}

// Spend takes bytes from the budget. The budget may become negative, since the length of a response is not known in
// advance.
func (l *LinkBudget) Spend(bytes int, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.available -= float64(bytes)
	l.used += int64(bytes)
}

// Used returns the total number of bytes taken by Spend.
func (l *LinkBudget) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// refill adds the bytes of the time since the last update; the lock must be held.
func (l *LinkBudget) refill(now time.Time) {
	if !l.started {
		l.available = l.Burst
		l.started = true
	} else if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.available = min(l.available+elapsed.Seconds()*l.BytesPerSecond, l.Burst)
	}
	l.updatedAt = now
}
