package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/protocol/event"
)

const (
	streamBufferBytes = 8 << 10
	// maxEventPart is the part of the memory for unfinished events that one of them may take, as its inverse, and
	// maxMaxEventBytes the length that none exceeds.
	maxEventPart     = 32
	maxMaxEventBytes = 1 << 20
	// minEventSilence is the shortest pause between events after which an upstream is considered stalled. An engine that
	// reads a long prompt for another request, preempts a request for a more urgent one, or falls silent though it is sound,
	// pauses for less.
	minEventSilence = 2 * time.Second
	// minPlainAnswerWait is the shortest wait for an answer other than a stream before the request is sent to another
	// upstream: several times the longest service time of a plain service, so that a slow answer is not taken for a lost
	// one.
	minPlainAnswerWait = 250 * time.Millisecond
	// minFirstEventWait is the shortest wait for a stream's first event before the upstream is considered stalled.
	minFirstEventWait = 3 * time.Second
	// firstEventCostFactor times the predicted cost of the choice is how long a first event is waited for, if that is
	// longer than minFirstEventWait.
	firstEventCostFactor = 4
	// eventGapFactor times the route's target gap is how long a further event is waited for, if that is longer than
	// minEventSilence.
	eventGapFactor = 6
)

// relayProgress is how much of an upstream's answer the caller has been sent.
type relayProgress struct {
	// headWritten reports whether the status and the headers were sent.
	headWritten bool
	// head holds the headers that were sent.
	head   http.Header
	events int
	// sequence holds the IDs of the events.
	sequence     event.Sequence
	firstEventAt time.Time
	lastEventAt  time.Time
	// relayedAt is when the last event was written; a caller that reads slowly delays it.
	relayedAt time.Time
	// maxGap is the longest time between two writes of events.
	maxGap time.Duration
}

// resumeAfter returns the ID of the last event that the caller has received, empty for none.
func (x *exchange) resumeAfter() string { return x.progress.sequence.LastID() }

// streamRelay is how one answer's events are passed on to the caller.
type streamRelay struct {
	splitter event.Splitter
	// begun reports that the caller has been sent a part of another answer, and followed that this one has brought an event.
	begun, followed bool
}

// relayStream sends complete events to the caller as they arrive; an incomplete event at the end of a broken stream is
// dropped. Those of an answer that goes on with a begun stream must follow its last event.
func (x *exchange) relayStream(s *upstreamSend) (attempt.Result, error) {
	r := streamRelay{
		splitter: event.Splitter{MaxEventBytes: maxEventBytes(x.server.Memory)},
		begun:    x.progress.headWritten,
	}
	unfinished := x.server.Memory.NewReservation(memory.Events)
	defer unfinished.Resize(0)
	buffer := make([]byte, streamBufferBytes)
	s.response.SetReadDeadline(x.deadline)
	for {
		s.succession.expect(x.silenceDeadline(s.started, s.cost))
		n, err := s.response.Body.Read(buffer)
		events := r.splitter.Add(buffer[:n])
		held := unfinished.Resize(eventBytes(r.splitter.Buffered()))
		if len(events) == 0 && err == nil && held && !r.splitter.TooLong() {
			continue
		}
		if !s.succession.heard() {
			s.response.Discard()
			return x.giveUp(s)
		}
		if len(events) > 0 {
			if err := x.passOnEvents(s, &r, events); err != nil {
				return attempt.Lost, err
			}
		}
		switch {
		case r.splitter.TooLong():
			s.response.Discard()
			x.suspectCrash(s, errEventTooLong)
			return attempt.Lost, errEventTooLong
		case !held:
			s.response.Discard()
			x.attempts.Repeatable = false // another upstream's event would find no room either
			return attempt.Lost, errNoEventMemory
		case err != nil:
			return x.endStream(s, &r, err)
		}
	}
}

// passOnEvents sends complete events to the caller, or ends the answer with an error if they can't follow or the caller can't be
// sent any.
func (x *exchange) passOnEvents(s *upstreamSend, r *streamRelay, events []byte) error {
	if err := x.noteIDs(r.splitter.IDs(), r.begun); err != nil {
		_, err = x.failStream(s, err)
		return err
	}
	r.followed = r.followed || len(r.splitter.IDs()) > 0
	if r.begun && !r.followed {
		return nil // comments of an answer that may not go on with the stream
	}
	if err := x.writeEvents(s, events, r.splitter.Completed()); err != nil {
		s.response.Discard()
		return err
	}
	return nil
}

// endStream returns the result of an answer of which no more can be read because of an error, io.EOF at its end.
func (x *exchange) endStream(s *upstreamSend, r *streamRelay, err error) (attempt.Result, error) {
	atEnd := errors.Is(err, io.EOF)
	switch {
	case atEnd && r.splitter.Buffered() > 0:
		err = errTruncatedStream
	case atEnd && r.begun && !r.followed:
		err = errNoFurtherEvent
	case atEnd:
		return x.finishStream(s)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errStreamStalled
	}
	return x.failStream(s, err)
}

// maxEventBytes returns the maximum length of an event: a part of the memory for all of them.
func maxEventBytes(budget *memory.Budget) int {
	return int(min(max(budget.Limit(memory.Events)/maxEventPart, event.DefaultMaxEventBytes), maxMaxEventBytes))
}

// eventBytes returns what an unfinished event holds apart from what each request reserves. A buffer that grows holds
// twice the bytes at most.
func eventBytes(buffered int) int64 {
	if buffered <= streamBufferBytes {
		return 0
	}
	return 2 * int64(buffered)
}

// silenceDeadline returns when an upstream that completes no further event has been silent for too long; sent is when the request
// was sent to it, and cost the Cost of the choice. Bytes that complete no event don't put it off. If no other upstream can
// resume the stream, it is the request's deadline.
func (x *exchange) silenceDeadline(sent time.Time, cost time.Duration) time.Time {
	if !x.route.Resumable() {
		return x.deadline
	}
	silence := max(minEventSilence, eventGapFactor*x.route.TargetGap())
	if x.progress.events == 0 {
		silence = max(minFirstEventWait, firstEventCostFactor*cost)
	}
	since := sent
	if x.progress.relayedAt.After(since) {
		since = x.progress.relayedAt
	}
	if at := since.Add(silence); at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

// writeEvents sends complete events to the caller; count is their number.
func (x *exchange) writeEvents(s *upstreamSend, events []byte, count int) error {
	now := time.Now()
	x.countUsage()
	if !x.progress.headWritten {
		x.writeHead(s)
		x.attempts.MarkStreaming()
	}
	x.noteWeights(s, events)
	x.recordOrigin(s)
	if x.progress.events == 0 {
		x.progress.firstEventAt = now
		x.server.Metrics.observeFirstEvent(x.route, x.priorityLevel, now.Sub(x.started))
	} else {
		x.progress.maxGap = max(x.progress.maxGap, now.Sub(x.progress.lastEventAt))
	}
	s.assignment.Events(count, now)
	x.progress.events += count
	x.progress.lastEventAt = now
	if _, err := x.w.Write(events); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	err := http.NewResponseController(x.w).Flush()
	x.progress.relayedAt = time.Now()
	return err
}

// writeHead sends the head of a stream to the caller.
func (x *exchange) writeHead(s *upstreamSend) {
	x.copyHeader(s.response.Header)
	x.w.WriteHeader(http.StatusOK)
	x.progress.headWritten = true
	x.progress.head = s.response.Header
}

func (x *exchange) finishStream(s *upstreamSend) (attempt.Result, error) {
	s.response.Release(x.server.Connections, s.reply.IdleTimeout)
	now := time.Now()
	x.server.Dispatcher.Succeeded(s.upstream, 0, now)
	x.recordWhole(s)
	if !x.progress.headWritten {
		x.writeHead(s)
	}
	return attempt.Answered, nil
}

func (x *exchange) failStream(s *upstreamSend, err error) (attempt.Result, error) {
	s.response.Discard()
	x.server.Dispatcher.Failed(s.upstream, time.Now())
	x.suspectCrash(s, err)
	return attempt.Lost, err
}
