package caller

import (
	"sync"
	"time"

	"lagoongw/internal/state/outcome"
)

// ClassCounts is what the users measure, for one class.
type ClassCounts struct {
	Requests          int64 `json:"requests"`
	Completed         int64 `json:"completed"`
	NotRun            int64 `json:"not-run"`
	Failed            int64 `json:"failed"`
	Unknown           int64 `json:"unknown"`
	Owed              int64 `json:"owed"`
	Attained          int64 `json:"attained"`
	Tokens            int64 `json:"tokens"`
	WastedTokens      int64 `json:"wasted-tokens"`
	LateEvents        int64 `json:"late-pieces"`
	Retries           int64 `json:"retries"`
	Resumed           int64 `json:"resumed"`
	Preempted         int64 `json:"preempted"`
	MismatchedAnswers int64 `json:"crossed-pieces"`
}

// Metrics counts by class; it is safe for concurrent use.
type Metrics struct {
	mu      sync.Mutex
	classes map[string]*ClassCounts
}

// NewMetrics returns counts of zero.
func NewMetrics() *Metrics {
	return &Metrics{classes: map[string]*ClassCounts{}}
}

// Update changes the counts of a class.
func (m *Metrics) Update(class string, change func(*ClassCounts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.classes[class]
	if counts == nil {
		counts = &ClassCounts{}
		m.classes[class] = counts
	}
	change(counts)
}

// Snapshot returns a copy of the counts by class.
func (m *Metrics) Snapshot() map[string]ClassCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := make(map[string]ClassCounts, len(m.classes))
	for class, counts := range m.classes {
		snapshot[class] = *counts
	}
	return snapshot
}

func (c *ClassCounts) end(result outcome.Outcome) {
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

func (c *ClassCounts) firstToken(owed, took time.Duration) {
	if owed <= 0 {
		return
	}
	c.Owed++
	if took <= owed {
		c.Attained++
	}
}
