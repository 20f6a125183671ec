package caller

import (
	"context"
	"net/http"
	"time"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// service carries a request to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	j := s.newJob(r)
	j.pool = r.PathValue("name")
	j.path = servicePath(r)
	steps := []func() *ending{
		func() *ending { return s.identify(r, j) },
		func() *ending { return s.checkKey(r, j) },
		func() *ending { return s.readBody(w, r, j) },
		func() *ending { return s.match(j, j.pool) },
		func() *ending { return s.admit(r.Context(), j) },
	}
	for _, step := range steps {
		if e := step(); e != nil {
			s.end(w, j, *e)
			return
		}
	}
	defer j.pass.Release()
	s.run(w, r, j)
}

func servicePath(r *http.Request) string {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// run dispatches an admitted request whose answer is passed on as a whole.
func (s *Server) run(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := s.dispatchContext(r.Context(), j)
	defer cancel()
	if e := s.claimIfOnce(ctx, w, j); e != nil {
		if !j.answered {
			s.end(w, j, *e)
		}
		return
	}
	answer, result, e := s.attempt(ctx, j)
	s.closeClaim(j, result, answer)
	if e != nil {
		s.end(w, j, *e)
		return
	}
	tokens := answer.tokens()
	s.Estimates.Observe(j.class(), time.Since(j.admitted), tokens)
	s.Limiter.Charge(j.team.Name(), tokens, time.Now())
	s.Metrics.Update(j.class(), func(c *ClassCounts) {
		c.Tokens += int64(tokens)
		c.firstToken(j.rule.FirstTokenTarget(), time.Since(j.started))
	})
	s.pass(w, j, result, answer)
}

// dispatchContext ends with the caller for idempotent work; what may run only once goes on, so that its outcome is recorded.
func (s *Server) dispatchContext(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	if !j.rule.Idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, j.deadline())
}

// claimIfOnce claims the key of a request that must run at most once.
func (s *Server) claimIfOnce(ctx context.Context, w http.ResponseWriter, j *job) *ending {
	if j.rule.Idempotent() || j.key == "" {
		return nil
	}
	if _, issued := claim.ParseIssuedKey(j.key); issued {
		return s.claimIssued(w, j)
	}
	return s.claim(ctx, w, j)
}

var alreadyAnswered = &ending{}

// claim asks the log whether this node may dispatch the request; nil means that it may.
func (s *Server) claim(ctx context.Context, w http.ResponseWriter, j *job) *ending {
	ticket, decision := s.Claims.Claim(ctx, j.claimKey(), j.digest())
	switch decision.Verdict {
	case claim.Dispatch:
		j.ticket = &ticket
		return nil
	case claim.Replay:
		return s.replay(ctx, w, j, decision)
	}
	return undecided(decision)
}

// undecided is the answer to a request that may not be dispatched and has no recorded answer.
func undecided(decision claim.Decision) *ending {
	e := &ending{
		status:     http.StatusServiceUnavailable,
		outcome:    verdictOutcome[decision.Verdict],
		message:    decision.Reason,
		retryAfter: retryShortly,
	}
	switch decision.Verdict {
	case claim.Unknown:
		e.status = http.StatusConflict
	case claim.Mismatch:
		e.status = http.StatusUnprocessableEntity
		e.field = "Idempotency-Key"
		e.retryAfter = 0
	}
	return e
}

// replay answers a repeated request with the outcome that the log holds.
func (s *Server) replay(ctx context.Context, w http.ResponseWriter, j *job, decision claim.Decision) *ending {
	r, ok := s.Claims.ReadOutcome(ctx, j.claimKey(), decision.Holder)
	r.BodyKept = ok && r.BodyKept
	return s.replayRecord(w, j, decision.Holder.Outcome(), r)
}

func (s *Server) replayRecord(w http.ResponseWriter, j *job, result outcome.Outcome, r wire.ClaimRecord) *ending {
	if !r.BodyKept {
		return &ending{
			status:     http.StatusConflict,
			outcome:    result,
			message:    "the request ran before; its answer can't be read back now",
			retryAfter: retryShortly,
		}
	}
	s.pass(w, j, result, reply{
		status:      r.Status,
		contentType: r.ContentType,
		body:        []byte(r.Body),
	})
	return alreadyAnswered
}

func (s *Server) closeClaim(j *job, result outcome.Outcome, answer reply) {
	if j.issued {
		s.closeIssued(j, result, answer)
		return
	}
	if j.ticket == nil {
		return
	}
	if result == outcome.NotRun {
		s.Claims.Release(*j.ticket)
		return
	}
	s.Claims.Finish(*j.ticket, claimOutcome(result, answer))
}
