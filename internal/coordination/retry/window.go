package retry

import (
	"sync"
	"time"
)

const (
	// windowParts is how many parts a window is counted in, so that it slides by a tenth of its length.
	windowParts = 10
	// ringParts holds one part more: a window that ends within the newest part begins within the oldest.
	ringParts = windowParts + 1
	// requestParts is how many of the newest parts count requests, and ownShare the part of the ratio that a node uses.
	// A retry stays in windows that begin after the requests that allowed it. Half a window of them lies whole in each
	// such window or in the one half a window before it, and half the ratio of both is no more than the whole of one.
	requestParts = windowParts / 2
	ownShare     = 0.5
)

// Allowance is how many retries all nodes together may send to a pool in any window.
type Allowance struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the retries for each request, Slack those besides.
	Ratio float64
	Slack float64
}

// WindowBudget allows one node its part of the retries that all nodes together may send to a pool in any window.
type WindowBudget struct {
	// Allowance returns what all nodes may send.
	Allowance func() Allowance
	// Nodes returns how many nodes share the slack.
	Nodes func() int

	mu       sync.Mutex
	began    time.Time
	requests [ringParts]int
	retries  [ringParts]int
	part     int64
}

// RecordRequest counts a request of a caller.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.part%ringParts]++
}

// Take spends one retry and reports whether there was one to spend.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, retries := 0, 0
	for i := range int64(ringParts) {
		retries += w.retries[i]
		if age := (w.part - i + ringParts) % ringParts; age < requestParts {
			requests += w.requests[i]
		}
	}
	allowance := w.Allowance()
	allowed := ownShare*allowance.Ratio*float64(requests) + allowance.Slack/float64(max(w.Nodes(), 1))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.part%ringParts]++
	return true
}

func (w *WindowBudget) advance(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	part := int64(now.Sub(w.began)) * windowParts / int64(w.Allowance().Length)
	for range min(part-w.part, ringParts) {
		w.part++
		w.requests[w.part%ringParts] = 0
		w.retries[w.part%ringParts] = 0
	}
	w.part = max(w.part, part)
}
