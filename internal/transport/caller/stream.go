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
	errSilent    = errors.New("upstream went silent")
	errPreempted = errors.New("stopped for a higher tier")
	errShort     = errors.New("stream ended before its end mark")
	errGap       = errors.New("stream lost a piece")
	errCaller    = errors.New("caller left")
)

// relay passes a stream on piece by piece; a broken one is resumed at its offset where the rule allows.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if e := s.claimIfOnce(ctx, w, j); e != nil {
		if !j.answered {
			s.end(w, j, *e)
		}
		return
	}
	out := newStreamWriter(w, j.id, s.StreamIdleTimeout)
	result, e := s.relayAttempts(ctx, j, out)
	s.closeClaim(j, result, reply{status: http.StatusOK})
	if e == nil {
		s.finishStream(out, j)
		return
	}
	s.endStream(out, w, j, result, e)
}

// relayAttempts relays until one attempt brings the stream to its end.
func (s *Server) relayAttempts(ctx context.Context, j *job, out *streamWriter) (outcome.Outcome, *ending) {
	mayHaveRun := false
	for {
		chosen, e := s.choose(j)
		if e != nil {
			return s.noUpstream(e, mayHaveRun), e
		}
		maybeRan, err := s.relayOnce(ctx, j, chosen, out)
		if err == nil {
			return outcome.Completed, nil
		}
		mayHaveRun = mayHaveRun || maybeRan
		s.countLoss(j, err)
		if errors.Is(err, errPreempted) {
			if refused := j.pass.Requeue(ctx, s.remaining(j)); refused == nil {
				continue
			}
		}
		if !s.again(ctx, j, chosen, maybeRan) {
			return lost(err, mayHaveRun)
		}
	}
}

// relayOnce relays one attempt; maybeRan tells whether the upstream can have acted on it.
func (s *Server) relayOnce(ctx context.Context, j *job, chosen *replica.Replica, out *streamWriter) (maybeRan bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chosen.Begin()
	defer chosen.End()
	began := time.Now()
	call := s.call(j)
	call.Address = chosen.Address()
	silence := time.AfterFunc(s.StreamIdleTimeout, cancel)
	response, err := s.Upstream.Do(ctx, call)
	if !silence.Stop() && err == nil {
		_ = response.Body.Close()
		return true, errSilent
	}
	if err != nil {
		return failedToRun(chosen, err), err
	}
	defer func() { _ = response.Body.Close() }()
	s.spendLink(chosen, len(j.body))
	if s.refusedByUpstream(chosen, response) {
		return false, errLeaving
	}
	if response.StatusCode != http.StatusOK {
		chosen.RecordFailure()
		return true, fmt.Errorf("upstream answered %d", response.StatusCode)
	}
	pieces := readPieces(ctx, response.Body)
	return true, s.copyPieces(ctx, j, chosen, pieces, out, began)
}

func (s *Server) copyPieces(ctx context.Context, j *job, chosen *replica.Replica, pieces <-chan piece, out *streamWriter, began time.Time) error {
	silence := time.NewTimer(s.StreamIdleTimeout)
	defer silence.Stop()
	first := true
	for {
		select {
		case p := <-pieces:
			done, err := s.takePiece(j, chosen, p, out)
			if done || err != nil {
				return err
			}
			if first && p.kind == pieceData {
				j.pass.MarkProducing()
				chosen.RecordLatency(time.Since(began))
				first = false
			}
			silence.Reset(s.StreamIdleTimeout)
		case <-silence.C:
			chosen.RecordFailure()
			return errSilent
		case <-j.pass.Preempted():
			return errPreempted
		case <-ctx.Done():
			return errCaller
		}
	}
}

// takePiece checks that a piece belongs to this request and comes next, and passes it on.
func (s *Server) takePiece(j *job, chosen *replica.Replica, p piece, out *streamWriter) (done bool, err error) {
	switch p.kind {
	case pieceHeartbeat:
		return false, nil
	case pieceEnd:
		chosen.RecordSuccess()
		return true, nil
	case pieceError:
		chosen.RecordFailure()
		return false, errShort
	}
	switch {
	case p.answer.ID != j.id || p.answer.Attempt != fmt.Sprint(j.attempts):
		s.crossed(j, chosen)
		return false, errCrossed
	case p.answer.Offset < j.offset:
		return false, nil
	case p.answer.Offset > j.offset:
		chosen.RecordFailure()
		return false, errGap
	}
	s.countPiece(j)
	j.offset++
	s.spendLink(chosen, len(p.data))
	if err := out.write(p.data); err != nil {
		return false, errCaller
	}
	return false, nil
}

func (s *Server) countPiece(j *job) {
	now := time.Now()
	took := now.Sub(j.started)
	gap := now.Sub(j.last)
	first := j.offset == 0
	j.last = now
	s.Metrics.Update(j.class(), func(c *ClassCounts) {
		c.Tokens++
		if first {
			c.firstToken(j.rule.FirstTokenTarget(), took)
			return
		}
		if owed := j.rule.InterTokenTarget(); owed > 0 && gap > owed {
			c.LateEvents++
		}
	})
}

func (s *Server) countLoss(j *job, err error) {
	s.Metrics.Update(j.class(), func(c *ClassCounts) {
		switch {
		case errors.Is(err, errPreempted):
			c.Preempted++
		case errors.Is(err, errCaller):
			c.WastedTokens += int64(j.offset)
		case j.offset > 0:
			c.Resumed++
		}
	})
	s.Logger.Warn().
		Err(err).
		Str("request-id", j.id).
		Str("step", "relay stream").
		Str("peer", j.upstream).
		Int("offset", j.offset).
		Msg("stream broke off")
}

// remaining is the service time still expected of a stream, by the tokens that its class usually has.
func (s *Server) remaining(j *job) time.Duration {
	elapsed := time.Since(j.admitted)
	if j.offset == 0 {
		return s.Estimates.ServiceTime(j.class())
	}
	left := s.Estimates.RemainingTokens(j.class(), j.offset)
	return elapsed / time.Duration(j.offset) * time.Duration(left)
}

func (s *Server) finishStream(out *streamWriter, j *job) {
	s.RetryBudget(j.pool).RecordSuccess(s.Rules().RetryShare())
	s.Estimates.Observe(j.class(), time.Since(j.admitted), j.offset)
	s.Limiter.Charge(j.team.Name(), j.offset, time.Now())
	s.settle(j, j.status(outcome.Completed, ""))
	out.finish(outcome.Completed, "")
}

// endStream gives the final word: as an ordinary answer before the first piece, else as the stream's last lines.
func (s *Server) endStream(out *streamWriter, w http.ResponseWriter, j *job, result outcome.Outcome, e *ending) {
	if !out.started {
		e.outcome = result
		s.end(w, j, *e)
		return
	}
	s.Limiter.Charge(j.team.Name(), j.offset, time.Now())
	s.settle(j, j.status(outcome.Failed, e.message))
	out.finish(outcome.Failed, e.message)
}
