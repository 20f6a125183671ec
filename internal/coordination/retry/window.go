package retry

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets that a window is counted in, so that it slides by a tenth of its length.
	bucketsPerWindow = 10
	// ringBuckets is one more, since a window that ends within the newest bucket begins within the oldest one.
	ringBuckets = bucketsPerWindow + 1
	// requestBuckets is the number of newest buckets, half a window, whose requests earn retries, and nodeRatioShare
	// the fraction of the ratio that a node uses. A retry also counts in windows that begin after the requests that
	// earned it. Those requests span half a window, so they lie entirely in each such window or in the window that
	// begins half a window earlier. Half the ratio applied to both windows is at most the full ratio applied to the
	// larger one.
	requestBuckets = bucketsPerWindow / 2
	nodeRatioShare = 0.5
)

// Allowance limits the retries that all nodes together may send to a pool in any window.
type Allowance struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of retries allowed per request; Slack is the number allowed in addition, over all nodes.
	Ratio float64
	Slack float64
}

// WindowBudget limits one node to its part of an Allowance, counted over a sliding window; it is safe for concurrent
// use.
type WindowBudget struct {
	// Allowance returns the current allowance of all nodes together.
	Allowance func() Allowance
	// Nodes returns the number of nodes that share the slack.
	Nodes func() int

	mu        sync.Mutex
	startedAt time.Time
	requests  [ringBuckets]int
	retries   [ringBuckets]int
	bucket    int64
}

// RecordRequest counts a caller's request, which earns retries.
func (w *WindowBudget) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.bucket%ringBuckets]++
}

// Take uses up one retry and reports whether there was one left.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, retries := 0, 0
	for i := range int64(ringBuckets) {
		retries += w.retries[i]
		if age := (w.bucket - i + ringBuckets) % ringBuckets; age < requestBuckets {
			requests += w.requests[i]
		}
	}
	allowance := w.Allowance()
	allowed := nodeRatioShare*allowance.Ratio*float64(requests) + allowance.Slack/float64(max(w.Nodes(), 1))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.bucket%ringBuckets]++
	return true
}

func (w *WindowBudget) advance(now time.Time) {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	bucket := int64(now.Sub(w.startedAt)) * bucketsPerWindow / int64(w.Allowance().Length)
	for range min(bucket-w.bucket, ringBuckets) {
		w.bucket++
		w.requests[w.bucket%ringBuckets] = 0
		w.retries[w.bucket%ringBuckets] = 0
	}
	w.bucket = max(w.bucket, bucket)
}
