package caller

import (
	"sync"
	"time"

	"lagoongw/internal/state/outcome"
)

// ClassCounts holds the counters of one class since the start of the node.
type ClassCounts struct {
	Requests int64 `json:"requests"`
	// Completed, NotRun, Failed, and Unknown count requests by outcome.
	Completed int64 `json:"completed"`
	NotRun    int64 `json:"not-run"`
	Failed    int64 `json:"failed"`
	Unknown   int64 `json:"unknown"`
	// Owed counts the answers with a first-token target, and Attained those that met it.
	Owed     int64 `json:"owed"`
	Attained int64 `json:"attained"`
	// Tokens counts the output tokens sent to callers, one for each event of a stream. WastedTokens counts those of
	// streams that the caller left.
	Tokens       int64 `json:"tokens"`
	WastedTokens int64 `json:"wasted-tokens"`
	// LateEvents counts stream events that missed the inter-token target.
	LateEvents int64 `json:"late-pieces"`
	// Retries counts retries charged to the retry budget.
	Retries int64 `json:"retries"`
	// Resumed counts streams interrupted after their first event, including those that could not be resumed.
	Resumed int64 `json:"resumed"`
	// Preempted counts how often a stream was stopped for a request of a higher tier.
	Preempted int64 `json:"preempted"`
	// MismatchedAnswers counts answers and stream events that belong to another request.
	MismatchedAnswers int64 `json:"crossed-pieces"`
}

// Metrics holds the counters of every class; it is safe for concurrent use.
type Metrics struct {
	mu      sync.Mutex
	classes map[string]*ClassCounts
}

// NewMetrics returns metrics without any class.
func NewMetrics() *Metrics {
	return &Metrics{classes: map[string]*ClassCounts{}}
}

// Update calls update with the counters of a class while holding the lock.
func (m *Metrics) Update(class string, update func(*ClassCounts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.classes[class]
	if counts == nil {
		counts = &ClassCounts{}
		m.classes[class] = counts
	}
	update(counts)
}

// Snapshot returns a copy of the counters by class.
func (m *Metrics) Snapshot() map[string]ClassCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := make(map[string]ClassCounts, len(m.classes))
	for class, counts := range m.classes {
		snapshot[class] = *counts
	}
	return snapshot
}

func (c *ClassCounts) countOutcome(result outcome.Outcome) {
	switch result {
	case outcome.Completed:
		c.Completed++
	case outcome.NotRun:
		c.NotRun++
	case outcome.Failed:
		c.Failed++
	case outcome.Unknown:
		c.Unknown++
	}
}

// countFirstToken counts a first token against its latency target; a target of zero counts nothing.
func (c *ClassCounts) countFirstToken(target, latency time.Duration) {
	if target <= 0 {
		return
	}
	c.Owed++
	if latency <= target {
		c.Attained++
	}
}
