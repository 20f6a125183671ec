package origin

import (
	"slices"
	"time"
)

// backlog holds the streams that wait to be appended to the store.
type backlog struct {
	pending []Report
	// inFlight is the number of the first pending streams that are being appended.
	inFlight int
	// dueAt is when the next batch may be appended.
	dueAt time.Time
}

// add adds a stream, unless too many wait.
func (b *backlog) add(report Report) {
	if len(b.pending) < maxPendingStreams {
		b.pending = append(b.pending, report)
	}
}

// retire drops the streams that wait, except those of an append in flight.
func (b *backlog) retire() { b.pending = slices.Clone(b.pending[:b.inFlight]) }

// waiting reports whether streams wait and none are being appended.
func (b *backlog) waiting() bool { return b.inFlight == 0 && len(b.pending) > 0 }

// take returns all streams that wait, which are in flight until done.
func (b *backlog) take() []Report {
	b.inFlight = len(b.pending)
	return b.pending[:b.inFlight:b.inFlight]
}

// done records whether the streams in flight were appended. Those that were not are due again after a pause.
func (b *backlog) done(appended bool, now time.Time) {
	if appended {
		b.pending = slices.Clone(b.pending[b.inFlight:])
	} else {
		b.dueAt = now.Add(logRetryDelay)
	}
	b.inFlight = 0
}
