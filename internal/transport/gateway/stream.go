package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/protocol/event"
)

const (
	streamBuffer = 8 << 10
	// minSilence is the shortest pause after which an upstream is taken to have stopped; an engine that reads a long
	// prompt for another request, or stops one for a more urgent one, pauses for less.
	minSilence = 1500 * time.Millisecond
	// minPlainSilence is the shortest wait for a plain answer that may be asked for elsewhere: several times the slowest
	// plain work, so that a slow answer is not taken for a lost one.
	minPlainSilence = 250 * time.Millisecond
	// minFirstSilence is the shortest wait for a first event, and silentFirsts how many times the cost of the choice is
	// waited for, before the upstream is taken to hang.
	minFirstSilence = 3 * time.Second
	silentFirsts    = 4
	// silentGaps is how many allowed pauses between events are waited for.
	silentGaps = 6
)

// relayed is how far a stream has been passed on.
type relayed struct {
	started bool
	events  int
	lastID  string
	firstAt time.Time
	lastAt  time.Time
	maxGap  time.Duration
}

// resumeAfter returns the ID of the last event that the caller has.
func (x *exchange) resumeAfter() string {
	if x.relayed.lastID != "" {
		return x.relayed.lastID
	}
	return x.call.ResumeAfter
}

// relay passes whole events on as they come; what follows the last whole event of a broken stream is held back.
func (x *exchange) relay(s *sending) (attempt.Result, error) {
	var splitter event.Splitter
	buffer := make([]byte, streamBuffer)
	for {
		s.response.SetReadDeadline(x.silentAt(s.cost))
		n, err := s.response.Body.Read(buffer)
		if whole := splitter.Add(buffer[:n]); len(whole) > 0 {
			if failed := x.passEvents(s, whole, splitter.LastID(), splitter.Completed()); failed != nil {
				s.response.Discard()
				return attempt.Lost, failed
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && splitter.Buffered() == 0:
			return x.ended(s)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return x.broken(s, errSilent)
		case errors.Is(err, io.EOF):
			return x.broken(s, errShortAnswer)
		default:
			return x.broken(s, err)
		}
	}
}

// silentAt is when an upstream that has sent nothing more is given up; one that can't be replaced is waited for.
func (x *exchange) silentAt(cost time.Duration) time.Time {
	if !x.route.Resumable() {
		return x.deadline
	}
	silence := max(minSilence, silentGaps*x.route.TargetGap())
	if x.relayed.events == 0 {
		silence = max(minFirstSilence, silentFirsts*cost)
	}
	return x.within(silence)
}

func (x *exchange) passEvents(s *sending, whole []byte, lastID string, count int) error {
	now := time.Now()
	if !x.relayed.started {
		x.copyHead(s.response.Header)
		x.w.WriteHeader(http.StatusOK)
		x.relayed.started = true
		x.attempts.MarkStreaming()
	}
	if x.relayed.events == 0 {
		x.relayed.firstAt = now
		x.server.Metrics.firstEvent(x.route, x.tier, now.Sub(x.started))
	} else {
		x.relayed.maxGap = max(x.relayed.maxGap, now.Sub(x.relayed.lastAt))
	}
	s.place.FirstEvent(now)
	x.relayed.events += count
	x.relayed.lastAt = now
	if lastID != "" {
		x.relayed.lastID = lastID
	}
	if _, err := x.w.Write(whole); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	return http.NewResponseController(x.w).Flush()
}

func (x *exchange) ended(s *sending) (attempt.Result, error) {
	s.response.Release(x.server.Connections, s.reply.IdleTimeout)
	now := time.Now()
	x.server.Dispatcher.Succeeded(s.upstream, 0, now)
	if !x.relayed.started {
		x.copyHead(s.response.Header)
		x.w.WriteHeader(http.StatusOK)
		x.relayed.started = true
	}
	return attempt.Answered, nil
}

func (x *exchange) broken(s *sending, err error) (attempt.Result, error) {
	s.response.Discard()
	x.server.Dispatcher.Failed(s.upstream, time.Now())
	return attempt.Lost, err
}
