package entryvm

import (
	"cmp"
	"sync"
	"time"
)

// fetchTimes limits the transfers of whole topics from peers. A transfer that was cut off while the topic was still
// arriving is given twice the time when it is tried again, so that a slow node doesn't begin the same one over and over.
type fetchTimes struct {
	mu     sync.Mutex
	limits map[string]time.Duration
}

// limit returns how long the next transfer of a topic may take.
func (f *fetchTimes) limit(topic string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cmp.Or(f.limits[topic], maxFetchTime)
}

// silence returns how long a peer may send nothing in the next transfer of a topic; it grows with the limit.
func (f *fetchTimes) silence(topic string) time.Duration {
	return fetchSilence * (f.limit(topic) / maxFetchTime)
}

// ended records whether a transfer was cut off by its limit or by a silence.
func (f *fetchTimes) ended(topic string, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !cutOff {
		delete(f.limits, topic)
		return
	}
	if f.limits == nil {
		f.limits = map[string]time.Duration{}
	}
	f.limits[topic] = min(2*cmp.Or(f.limits[topic], maxFetchTime), longestFetchTime)
}
