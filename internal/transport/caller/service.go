package caller

import (
	"context"
	"net/http"
	"time"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// service handles a request to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	j := s.newJob(r)
	defer s.dropTo(j, 0)
	j.pool = r.PathValue("name")
	j.path = servicePath(r)
	steps := []func() *errorAnswer{
		func() *errorAnswer { return s.authenticate(r, j) },
		func() *errorAnswer { return s.checkKey(r, j) },
		func() *errorAnswer { return s.readBody(w, r, j) },
		func() *errorAnswer { return s.matchRule(j, j.pool) },
		func() *errorAnswer { return s.admit(r.Context(), j) },
	}
	for _, step := range steps {
		if e := step(); e != nil {
			s.writeError(w, j, *e)
			return
		}
	}
	defer j.permit.Release()
	s.forward(w, r, j)
}

// servicePath returns the path after the service's name, with the query.
func servicePath(r *http.Request) string {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forward dispatches an admitted request and forwards the upstream's whole answer.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := s.dispatchContext(r.Context(), j)
	defer cancel()
	if e := s.claimIfAtMostOnce(ctx, w, j); e != nil {
		if !j.answered {
			s.writeError(w, j, *e)
		}
		return
	}
	answer, result, e := s.sendWithRetries(ctx, j)
	s.closeClaim(j, result, answer)
	if e != nil {
		s.writeError(w, j, *e)
		return
	}
	tokens := answer.tokens()
	s.Estimates.Observe(j.class(), time.Since(j.admitted), tokens)
	s.Limiter.Charge(j.team.Name(), tokens, time.Now())
	s.Metrics.Update(j.class(), func(c *ClassCounts) {
		c.Tokens += int64(tokens)
		c.countFirstToken(j.rule.FirstTokenTarget(), time.Since(j.started))
	})
	s.writeAnswer(w, j, result, answer)
}

// dispatchContext returns a context that ends at the deadline and, for an idempotent request, when the caller leaves.
// A request that must run at most once continues without its caller, so that its outcome is recorded.
func (s *Server) dispatchContext(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	if !j.rule.Idempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, j.deadline())
}

// claimIfAtMostOnce claims the key, if any, of a request that must run at most once; it returns nil if the request may
// be dispatched.
func (s *Server) claimIfAtMostOnce(ctx context.Context, w http.ResponseWriter, j *job) *errorAnswer {
	if j.rule.Idempotent() || j.key == "" {
		return nil
	}
	if _, issued := claim.ParseIssuedKey(j.key); issued {
		return s.claimIssuedKey(w, j)
	}
	return s.claimInLog(ctx, w, j)
}

// alreadyAnswered is returned for a request that was answered with a recorded answer.
var alreadyAnswered = &errorAnswer{}

// claimInLog claims the key through the log; it returns nil if this node may dispatch the request.
func (s *Server) claimInLog(ctx context.Context, w http.ResponseWriter, j *job) *errorAnswer {
	ticket, decision := s.Claims.Claim(ctx, j.claimKey(), j.digest())
	switch decision.Verdict {
	case claim.Dispatch:
		j.ticket = &ticket
		return nil
	case claim.Replay:
		return s.replay(ctx, w, j, decision)
	}
	return claimErrorAnswer(decision)
}

// claimErrorAnswer returns the answer to a request that may not be dispatched and has no recorded answer.
func claimErrorAnswer(decision claim.Decision) *errorAnswer {
	e := &errorAnswer{
		status:     http.StatusServiceUnavailable,
		outcome:    verdictOutcome[decision.Verdict],
		message:    decision.Reason,
		retryAfter: defaultRetryAfter,
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

// replay answers a repeated request with the outcome recorded in the log.
func (s *Server) replay(ctx context.Context, w http.ResponseWriter, j *job, decision claim.Decision) *errorAnswer {
	record, ok := s.Claims.ReadOutcome(ctx, j.claimKey(), decision.Holder)
	record.BodyKept = ok && record.BodyKept
	return s.replayRecord(w, j, decision.Holder.Outcome(), record)
}

// replayRecord answers a repeated request with its recorded answer and returns alreadyAnswered; if the body was not
// kept, it returns an error answer to write.
func (s *Server) replayRecord(
	w http.ResponseWriter, j *job, result outcome.Outcome, record wire.ClaimRecord,
) *errorAnswer {
	if !record.BodyKept {
		return &errorAnswer{
			status:     http.StatusConflict,
			outcome:    result,
			message:    "the request ran before; its answer can't be read back now",
			retryAfter: defaultRetryAfter,
		}
	}
	s.writeAnswer(w, j, result, upstreamAnswer{
		status:      record.Status,
		contentType: record.ContentType,
		body:        []byte(record.Body),
	})
	return alreadyAnswered
}

// closeClaim records the outcome of a claimed request, or releases the claim if the request did not run.
func (s *Server) closeClaim(j *job, result outcome.Outcome, answer upstreamAnswer) {
	if j.issuedKey {
		s.closeIssuedKey(j, result, answer)
		return
	}
	if j.ticket == nil {
		return
	}
	if result == outcome.NotRun {
		s.Claims.Release(*j.ticket)
		return
	}
	s.Claims.Finish(*j.ticket, newClaimRecord(result, answer))
}
