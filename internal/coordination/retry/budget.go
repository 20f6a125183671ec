package retry

import "sync"

const (
	startBalance = 3.0
	maxBalance   = 50.0
)

// Budget allows retries as a share of successes, so that failures cannot multiply the load.
type Budget struct {
	mu      sync.Mutex
	balance float64
	started bool
}

// RecordSuccess earns a share of one retry.
func (b *Budget) RecordSuccess(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.balance = min(b.balance+share, maxBalance)
}

// Take spends one retry and reports whether there was one to spend.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// start lends a few retries to a pool that has had no success yet.
func (b *Budget) start() {
	if !b.started {
		b.balance = startBalance
		b.started = true
	}
}
