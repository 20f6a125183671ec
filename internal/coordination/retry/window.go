package retry

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets that a window is counted in, so that it slides by a tenth of its length.
	bucketsPerWindow = 10
	// ringBuckets is the number of buckets kept. It is one more than bucketsPerWindow, since a window that ends within
	// the newest bucket begins within the oldest one.
	ringBuckets = bucketsPerWindow + 1
	// Requests earn retries while they are in the newest requestBuckets buckets, half a window. nodeRatioShare is the
	// fraction of Allowance.Ratio that a node uses. A retry also counts in windows that begin after the requests that
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
	// Nodes returns the number of nodes that share Allowance.Slack evenly.
	Nodes func() int
	// NodeStartedAt is when this node started, zero if long ago. Its last run may have used its share of the slack until then, so
	// that it has none until a window later.
	NodeStartedAt time.Time

	mu sync.Mutex
	// countedFrom is when the first bucket began.
	countedFrom time.Time
	// requests and retries are rings of counts per bucket, indexed by the number of the bucket modulo ringBuckets.
	requests [ringBuckets]int
	retries  [ringBuckets]int
	// bucket is the number of the newest bucket, counted from countedFrom.
	bucket int64
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
	if !w.allows(now) {
		return false
	}
	w.retries[w.bucket%ringBuckets]++
	return true
}

// Allows reports whether a retry is left.
func (w *WindowBudget) Allows(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(now)
}

// allows reports whether a retry is left; mu is held.
func (w *WindowBudget) allows(now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range int64(ringBuckets) {
		retries += w.retries[i]
		if age := (w.bucket - i + ringBuckets) % ringBuckets; age < requestBuckets {
			requests += w.requests[i]
		}
	}
	allowance := w.Allowance()
	allowed := nodeRatioShare * allowance.Ratio * float64(requests)
	if now.Sub(w.NodeStartedAt) > allowance.Length {
		allowed += allowance.Slack / float64(max(w.Nodes(), 1))
	}
	return float64(retries+1) <= allowed
}

// advance moves on to the bucket of the given time and clears the buckets that it reuses.
func (w *WindowBudget) advance(now time.Time) {
	if w.countedFrom.IsZero() {
		w.countedFrom = now
	}
	bucket := int64(now.Sub(w.countedFrom)) * bucketsPerWindow / int64(w.Allowance().Length)
	for range min(bucket-w.bucket, ringBuckets) {
		w.bucket++
		w.requests[w.bucket%ringBuckets] = 0
		w.retries[w.bucket%ringBuckets] = 0
	}
	w.bucket = max(w.bucket, bucket)
}
