package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/replica"
)

var (
	errStreamIdle = errors.New("upstream sent no event within the idle timeout")
	errPreempted  = errors.New("preempted by a higher tier")
	errTruncated  = errors.New("stream ended early or sent an invalid event")
	errOffsetGap  = errors.New("stream skipped an offset")
	errCallerLeft = errors.New("caller left")
)

// forwardStream forwards a stream event by event. An interrupted stream is resumed at its offset if the rule allows it.
func (s *Server) forwardStream(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if e := s.claimIfAtMostOnce(ctx, w, j); e != nil {
		if !j.answered {
			s.writeError(w, j, *e)
		}
		return
	}
	out := newStreamWriter(w, j.id, s.CallerStallTimeout)
	result, e := s.streamWithRetries(ctx, j, out)
	s.closeClaim(j, result, upstreamAnswer{
		streamed: true,
		status:   http.StatusOK,
	})
	if e == nil {
		s.finishStream(out, j)
		return
	}
	s.failStream(out, w, j, result, e)
}

// streamWithRetries forwards a stream until an attempt reaches the end of the stream or mayRetry allows no further one.
// A preempted stream waits at the gate again and continues.
func (s *Server) streamWithRetries(ctx context.Context, j *job, out *streamWriter) (outcome.Outcome, *errorAnswer) {
	anyMaybeRan := false
	for {
		chosen, e := s.chooseUpstream(j)
		if e != nil {
			return s.outcomeWithoutUpstream(e, anyMaybeRan), e
		}
		maybeRan, err := s.streamOnce(ctx, j, chosen, out)
		if err == nil {
			return outcome.Completed, nil
		}
		anyMaybeRan = anyMaybeRan || maybeRan
		s.recordStreamError(j, err)
		if errors.Is(err, errPreempted) {
			if refusal := j.permit.Requeue(ctx, s.remainingServiceTime(j)); refusal == nil {
				continue
			}
		}
		if !s.mayRetry(ctx, j, chosen, maybeRan) {
			return sendErrorAnswer(err, anyMaybeRan)
		}
	}
}

// streamOnce forwards the stream of one attempt; maybeRan reports whether the upstream may have run it.
func (s *Server) streamOnce(
	ctx context.Context, j *job, chosen *replica.Replica, out *streamWriter,
) (maybeRan bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chosen.Begin()
	defer chosen.End()
	began := time.Now()
	call := s.newCall(j)
	call.Address = chosen.Address()
	idleTimer := time.AfterFunc(s.StreamIdleTimeout, cancel)
	response, err := s.Upstream.Do(ctx, call)
	if !idleTimer.Stop() && err == nil {
		_ = response.Body.Close()
		return true, errStreamIdle
	}
	if err != nil {
		return recordSendError(chosen, err), err
	}
	defer func() { _ = response.Body.Close() }()
	s.spendLinkBudget(chosen, len(j.body))
	if maybeRan, err := s.refusal(j, chosen, response); err != nil {
		return maybeRan, err
	}
	if response.StatusCode != http.StatusOK {
		chosen.RecordFailure()
		return true, fmt.Errorf("upstream answered %d", response.StatusCode)
	}
	events := readEvents(ctx, response.Body)
	return true, s.copyEvents(ctx, j, chosen, events, out, began)
}

// copyEvents forwards events until the end of the stream, an error, preemption, or the idle timeout. The attempt's
// latency is measured from began to the first data event.
func (s *Server) copyEvents(
	ctx context.Context, j *job, chosen *replica.Replica,
	events <-chan streamEvent, out *streamWriter, began time.Time,
) error {
	idleTimer := time.NewTimer(s.StreamIdleTimeout)
	defer idleTimer.Stop()
	first := true
	for {
		select {
		case event := <-events:
			done, err := s.handleEvent(j, chosen, event, out)
			if done || err != nil {
				return err
			}
			if first && event.kind == eventData {
				j.permit.MarkProducing()
				chosen.RecordLatency(time.Since(began))
				first = false
			}
			idleTimer.Reset(s.StreamIdleTimeout)
		case <-idleTimer.C:
			chosen.RecordFailure()
			return errStreamIdle
		case <-j.permit.Preempted():
			return errPreempted
		case <-ctx.Done():
			return errCallerLeft
		}
	}
}

// handleEvent forwards a data event that has the next offset; done reports the end of the stream. Events before that
// offset were forwarded by an earlier attempt and are skipped.
func (s *Server) handleEvent(
	j *job, chosen *replica.Replica, event streamEvent, out *streamWriter,
) (done bool, err error) {
	switch event.kind {
	case eventHeartbeat:
		return false, nil
	case eventEnd:
		chosen.RecordSuccess()
		return true, nil
	case eventError:
		chosen.RecordFailure()
		return false, errTruncated
	}
	switch {
	case event.answer.ID != j.id || event.answer.Attempt != fmt.Sprint(j.attempts):
		s.recordMismatch(j, chosen)
		return false, errMismatchedAnswer
	case event.answer.Offset < j.offset:
		return false, nil
	case event.answer.Offset > j.offset:
		chosen.RecordFailure()
		return false, errOffsetGap
	}
	s.countEvent(j)
	if j.offset == 0 {
		j.version = chosen.Version()
	}
	j.offset++
	s.spendLinkBudget(chosen, len(event.data))
	if err := out.writeEvent(event.data); err != nil {
		return false, errCallerLeft
	}
	return false, nil
}

// countEvent counts a data event and checks it against the rule's latency targets.
func (s *Server) countEvent(j *job) {
	now := time.Now()
	latency := now.Sub(j.started)
	gap := now.Sub(j.lastEvent)
	first := j.offset == 0
	j.lastEvent = now
	s.Metrics.Update(j.class(), func(c *ClassCounts) {
		c.Tokens++
		if first {
			c.countFirstToken(j.rule.FirstTokenTarget(), latency)
			return
		}
		if target := j.rule.InterTokenTarget(); target > 0 && gap > target {
			c.LateEvents++
		}
	})
}

// recordStreamError counts and logs the error that interrupted a stream.
func (s *Server) recordStreamError(j *job, err error) {
	s.Metrics.Update(j.class(), func(c *ClassCounts) {
		switch {
		case errors.Is(err, errPreempted):
			c.Preempted++
		case errors.Is(err, errCallerLeft):
			c.WastedTokens += int64(j.offset)
		case j.offset > 0:
			c.Resumed++
		}
	})
	s.Logger.Warn().
		Err(err).
		Str("request-id", j.id).
		Str("step", "forward stream").
		Str("peer", j.upstream).
		Int("offset", j.offset).
		Msg("stream interrupted")
}

// remainingServiceTime estimates the service time left for a stream, from its pace so far and the usual output length
// of its class.
func (s *Server) remainingServiceTime(j *job) time.Duration {
	elapsed := time.Since(j.admitted)
	if j.offset == 0 {
		return s.Estimates.ServiceTime(j.class())
	}
	remainingTokens := s.Estimates.RemainingTokens(j.class(), j.offset)
	return elapsed / time.Duration(j.offset) * time.Duration(remainingTokens)
}

// finishStream accounts for a completed stream, records its outcome, and ends it.
func (s *Server) finishStream(out *streamWriter, j *job) {
	s.RetryBudget(j.pool).RecordSuccess(s.Rules().RetryShare())
	s.Estimates.Observe(j.class(), time.Since(j.admitted), j.offset)
	s.Limiter.Charge(j.team.Name(), j.offset, time.Now())
	s.recordOutcome(j, j.status(outcome.Completed, ""))
	out.finish(outcome.Completed, "")
}

// failStream reports a failure: as a plain error answer before the first event, and otherwise as the last event of the
// stream. Once started, an idempotent stream has failed; one that must run at most once has the outcome of its claim.
func (s *Server) failStream(
	out *streamWriter, w http.ResponseWriter, j *job, result outcome.Outcome, e *errorAnswer,
) {
	if !out.started {
		e.outcome = result
		s.writeError(w, j, *e)
		return
	}
	s.Limiter.Charge(j.team.Name(), j.offset, time.Now())
	if j.rule.Idempotent() {
		result = outcome.Failed
	}
	s.recordOutcome(j, j.status(result, e.message))
	out.finish(result, e.message)
}
