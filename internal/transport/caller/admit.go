package caller

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"lagoongw/internal/coordination/admission"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/quota"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/rule"
)

// defaultRetryAfter is the retry delay in error answers where no better estimate is known.
const defaultRetryAfter = time.Second

// authenticate sets the job's team from the bearer token.
func (s *Server) authenticate(r *http.Request, j *job) *errorAnswer {
	file := s.Rules()
	if file == nil {
		return &errorAnswer{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    "no rule file in force at this node yet",
			retryAfter: defaultRetryAfter,
			addresses:  s.otherAddresses(""),
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return &errorAnswer{
			status:  http.StatusUnauthorized,
			outcome: outcome.NotRun,
			field:   "Authorization",
			message: "expected Authorization: Bearer TOKEN",
		}
	}
	team, known := file.TeamByToken(token)
	if !known {
		return &errorAnswer{
			status:  http.StatusUnauthorized,
			outcome: outcome.NotRun,
			field:   "Authorization",
			message: "no team holds this token",
		}
	}
	j.team = team
	return nil
}

// readBody reads the whole request body, up to MaxBodyBytes and as long as all bodies take at most MaxHeldBytes.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, j *job) *errorAnswer {
	controller := http.NewResponseController(w)
	body, err := s.readHeld(j, deadlineReader{
		body: http.MaxBytesReader(w, r.Body, MaxBodyBytes),
		setDeadline: func() {
			_ = controller.SetReadDeadline(time.Now().Add(s.CallerStallTimeout))
		},
	})
	_ = controller.SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return &errorAnswer{
			status:  http.StatusRequestEntityTooLarge,
			outcome: outcome.NotRun,
			field:   "body",
			message: "body longer than 4 MiB",
		}
	}
	if errors.Is(err, errHeldBytes) {
		return &errorAnswer{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    err.Error(),
			retryAfter: defaultRetryAfter,
			addresses:  s.otherAddresses(j.team.Name()),
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &errorAnswer{
			status:     http.StatusRequestTimeout,
			outcome:    outcome.NotRun,
			field:      "body",
			message:    "no byte of the body arrived in time",
			retryAfter: defaultRetryAfter,
		}
	}
	if err != nil {
		return badRequest("body", "could not be read whole")
	}
	j.body = body
	return nil
}

// checkKey limits the length of the idempotency key and, if the caller says when it was issued, its age to KeyLifetime.
func (s *Server) checkKey(r *http.Request, j *job) *errorAnswer {
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
		return &errorAnswer{
			status:  http.StatusUnprocessableEntity,
			outcome: outcome.NotRun,
			field:   "Idempotency-Key-Issued",
			message: "the key is older than keys are honoured; ask what became of it before ordering again",
		}
	}
	return nil
}

// matchRule sets the rule that gives the request its class, and counts the request.
func (s *Server) matchRule(j *job, service string) *errorAnswer {
	found, ok := s.Rules().Match(rule.Request{
		Team:    j.team.Name(),
		Service: service,
		Method:  j.method,
		Path:    j.path,
		Model:   j.model,
	})
	if !ok {
		return &errorAnswer{
			status:  http.StatusForbidden,
			outcome: outcome.NotRun,
			message: "no rule matches this request of team " + j.team.Name(),
		}
	}
	j.rule = found
	s.Metrics.Update(j.class(), func(c *ClassCounts) { c.Requests++ })
	return nil
}

// admit refuses requests while this node drains, enforces the team's rate limit, and waits at the pool's gate until the
// request may start.
func (s *Server) admit(ctx context.Context, j *job) *errorAnswer {
	if phase := s.Phase(); phase >= drain.Refusing {
		return &errorAnswer{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    "this entry VM is leaving; use another address",
			retryAfter: defaultRetryAfter,
			addresses:  s.otherAddresses(j.team.Name()),
		}
	}
	limit := quota.Limit{
		RequestsPerSecond: j.team.RequestsPerSecond(),
		TokensPerSecond:   j.team.TokensPerSecond(),
	}
	if ok, wait := s.Limiter.Allow(j.team.Name(), limit, time.Now()); !ok {
		return &errorAnswer{
			status:     http.StatusTooManyRequests,
			outcome:    outcome.NotRun,
			message:    "the team's limit is used up",
			retryAfter: max(wait, time.Millisecond),
		}
	}
	return s.acquirePermit(ctx, j)
}

// acquirePermit waits at the pool's gate for a permit.
func (s *Server) acquirePermit(ctx context.Context, j *job) *errorAnswer {
	gate := s.Gate(j.pool)
	if gate == nil {
		return &errorAnswer{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    "no upstream known for " + j.pool,
			retryAfter: defaultRetryAfter,
		}
	}
	permit, refusal := gate.Acquire(ctx, admission.Item{
		Tier:        j.tier(),
		Due:         j.due(),
		Deadline:    j.deadline(),
		ServiceTime: s.Estimates.ServiceTime(j.class()),
		Resumable:   j.stream && j.rule.Idempotent(),
	})
	j.permit = permit
	j.admitted = time.Now()
	if refusal == nil {
		return nil
	}
	return &errorAnswer{
		status:     http.StatusServiceUnavailable,
		outcome:    outcome.NotRun,
		message:    refusal.Reason,
		retryAfter: refusal.RetryAfter,
	}
}
