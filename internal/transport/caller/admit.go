package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"lagoongw/internal/coordination/admission"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/quota"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/rule"
)

const retryShortly = time.Second

// identify finds the caller's team by its token.
func (s *Server) identify(r *http.Request, j *job) *ending {
	file := s.Rules()
	if file == nil {
		return &ending{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    "no rule file in force at this node yet",
			retryAfter: retryShortly,
			addresses:  s.otherAddresses(""),
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return &ending{
			status:  http.StatusUnauthorized,
			outcome: outcome.NotRun,
			field:   "Authorization",
			message: "expected Authorization: Bearer TOKEN",
		}
	}
	team, known := file.TeamByToken(token)
	if !known {
		return &ending{
			status:  http.StatusUnauthorized,
			outcome: outcome.NotRun,
			field:   "Authorization",
			message: "no team holds this token",
		}
	}
	j.team = team
	return nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, j *job) *ending {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return &ending{
			status:  http.StatusRequestEntityTooLarge,
			outcome: outcome.NotRun,
			field:   "body",
			message: "body longer than 4 MiB",
		}
	}
	if err != nil {
		return badRequest("body", "could not be read whole")
	}
	j.body = body
	return nil
}

func (s *Server) checkKey(r *http.Request, j *job) *ending {
	if len(j.key) > maxKeyBytes {
		return badRequest("Idempotency-Key", "expected at most 200 bytes")
	}
	issued := r.Header.Get("Idempotency-Key-Issued")
	if issued == "" {
		return nil
	}
	at, err := time.Parse(time.RFC3339, issued)
	if err != nil {
		return badRequest("Idempotency-Key-Issued", "expected a time such as 2026-01-31T08:00:00Z")
	}
	if time.Since(at) > s.KeyLifetime {
		return &ending{
			status:  http.StatusUnprocessableEntity,
			outcome: outcome.NotRun,
			field:   "Idempotency-Key-Issued",
			message: "the key is older than keys are honoured; ask what became of it before ordering again",
		}
	}
	return nil
}

// match finds the rule that sets the request's class.
func (s *Server) match(j *job, service string) *ending {
	found, ok := s.Rules().Match(rule.Request{
		Team:    j.team.Name(),
		Service: service,
		Method:  j.method,
		Path:    j.path,
		Model:   j.model,
	})
	if !ok {
		return &ending{
			status:  http.StatusForbidden,
			outcome: outcome.NotRun,
			message: "no rule matches this request of team " + j.team.Name(),
		}
	}
	j.rule = found
	s.Metrics.Update(j.class(), func(c *ClassCounts) { c.Requests++ })
	return nil
}

// admit applies drain, team limit and the pool's gate; it waits until the request may start.
func (s *Server) admit(ctx context.Context, j *job) *ending {
	if phase := s.Phase(); phase >= drain.Refusing {
		return &ending{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    "this entry VM is leaving; use another address",
			retryAfter: retryShortly,
			addresses:  s.otherAddresses(j.team.Name()),
		}
	}
	limit := quota.Limit{
		RequestsPerSecond: j.team.RequestsPerSecond(),
		TokensPerSecond:   j.team.TokensPerSecond(),
	}
	if ok, wait := s.Limiter.Allow(j.team.Name(), limit, time.Now()); !ok {
		return &ending{
			status:     http.StatusTooManyRequests,
			outcome:    outcome.NotRun,
			message:    "the team's limit is used up",
			retryAfter: max(wait, time.Millisecond),
		}
	}
	return s.enter(ctx, j)
}

func (s *Server) enter(ctx context.Context, j *job) *ending {
	gate := s.Gate(j.pool)
	if gate == nil {
		return &ending{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    "no upstream known for " + j.pool,
			retryAfter: retryShortly,
		}
	}
	pass, refused := gate.Acquire(ctx, admission.Item{
		Tier:        j.tier(),
		Due:         j.due(),
		Deadline:    j.deadline(),
		ServiceTime: s.Estimates.ServiceTime(j.class()),
		Resumable:   j.stream && j.rule.Idempotent(),
	})
	j.pass = pass
	j.admitted = time.Now()
	if refused == nil {
		return nil
	}
	return &ending{
		status:     http.StatusServiceUnavailable,
		outcome:    outcome.NotRun,
		message:    refused.Reason,
		retryAfter: refused.RetryAfter,
	}
}
