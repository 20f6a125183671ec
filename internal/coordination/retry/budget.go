package retry

import "sync"

// Initial and maximum balance of a Budget, in retries.
const (
	initialBalance = 3.0
	maxBalance     = 50.0
)

// Budget limits the retries to a pool to a fraction of its successes; it is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	balance     float64
	initialized bool
}

// RecordSuccess adds ratio retries to the budget, up to its maximum balance.
func (b *Budget) RecordSuccess(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	b.balance = min(b.balance+ratio, maxBalance)
}

// Take uses up one retry and reports whether there was one left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// init grants the first retries to a pool that has had no success yet.
func (b *Budget) init() {
	if !b.initialized {
		b.balance = initialBalance
		b.initialized = true
	}
}
