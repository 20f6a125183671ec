package origin

import "time"

const (
	// logSlots is the number of keys under which batches of streams are kept in the store. One is written every LogInterval,
	// so that the log holds the streams of the last 100 s.
	logSlots = 512
	// LogInterval is the time between two batches.
	LogInterval = 200 * time.Millisecond
	// maxLogBytes limits the sum of the batches in the store, which a node that starts reads at once.
	maxLogBytes = 2 << 20
	// maxPendingStreams limits the streams that wait while the store does not take any; the newest are dropped.
	maxPendingStreams = maxStreams
	// logRetryDelay is the time after a failed append before the next one.
	logRetryDelay = 500 * time.Millisecond
)

// Log decides which streams are appended to the log of streams in the store, and where. It is not safe for concurrent use.
type Log struct {
	backlog
	// next is the slot of the next batch, known once the log was read.
	next  int
	known bool
	sizes [logSlots]int
	bytes int
}

// Add adds a stream.
func (l *Log) Add(report Report) { l.add(report) }

// Pending returns the number of streams that wait.
func (l *Log) Pending() int { return len(l.pending) }

// Continue sets the slots in use with the sizes of their batches, and the slot that was written last, -1 if none was.
func (l *Log) Continue(sizes map[int]int, last int) {
	l.sizes, l.bytes = [logSlots]int{}, 0
	for slot, size := range sizes {
		if slot >= 0 && slot < logSlots {
			l.sizes[slot] = size
			l.bytes += size
		}
	}
	l.next, l.known = (last+1)%logSlots, true
}

// Forget makes the slots in use unknown, since another node may write to them.
func (l *Log) Forget() { l.known = false }

// Retire drops the streams that wait, except those of an append in flight, and makes the slots in use unknown: another node writes
// to them from now on.
func (l *Log) Retire() {
	l.retire()
	l.Forget()
}

// Known reports whether the slots in use are known.
func (l *Log) Known() bool { return l.known }

// DueAt returns when the next batch may be appended.
func (l *Log) DueAt() time.Time { return l.dueAt }

// Due returns the streams of the next batch and the slot to write it to, if one is due now. Done must be called after it.
func (l *Log) Due(now time.Time) (batch []Report, slot int, due bool) {
	if !l.known || !l.waiting() || now.Before(l.dueAt) {
		return nil, 0, false
	}
	l.dueAt = now.Add(LogInterval)
	return l.take(), l.next, true
}

// Excess returns the slots to empty so that a batch of a size may be written to the next slot: the oldest ones.
func (l *Log) Excess(size int) (slots []int) {
	bytes := l.bytes + size - l.sizes[l.next]
	for i := 1; i < logSlots && bytes > maxLogBytes; i++ {
		slot := (l.next + i) % logSlots
		if l.sizes[slot] > 0 {
			slots = append(slots, slot)
			bytes -= l.sizes[slot]
		}
	}
	return slots
}

// Done records whether a batch of a size was appended, and slots emptied with it. A batch that was not is due again.
func (l *Log) Done(appended bool, size int, emptied []int, now time.Time) {
	l.done(appended, now)
	if !appended {
		return
	}
	for _, slot := range emptied {
		l.bytes -= l.sizes[slot]
		l.sizes[slot] = 0
	}
	l.bytes += size - l.sizes[l.next]
	l.sizes[l.next] = size
	l.next = (l.next + 1) % logSlots
}
