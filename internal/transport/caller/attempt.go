package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"lagoongw/internal/coordination/routing"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/upstream"
)

const (
	maxAttempts    = 3
	maxAnswerBytes = 32 << 20
)

var (
	errCrossed = errors.New("answer to another request")
	errLeaving = errors.New("upstream refused: it is leaving or full")
)

// attempt sends the request until one upstream answers, as often as the rule and the budget allow.
func (s *Server) attempt(ctx context.Context, j *job) (reply, outcome.Outcome, *ending) {
	mayHaveRun := false
	for {
		chosen, e := s.choose(j)
		if e != nil {
			return reply{}, s.noUpstream(e, mayHaveRun), e
		}
		answer, maybeRan, err := s.once(ctx, j, chosen)
		if err == nil {
			return s.judge(j, answer)
		}
		mayHaveRun = mayHaveRun || maybeRan
		if !s.again(ctx, j, chosen, maybeRan) {
			result, e := lost(err, mayHaveRun)
			return reply{}, result, e
		}
	}
}

func (s *Server) noUpstream(e *ending, mayHaveRun bool) outcome.Outcome {
	if mayHaveRun {
		e.outcome = outcome.Unknown
	}
	return e.outcome
}

// choose picks an upstream and writes the decision's log line.
func (s *Server) choose(j *job) (*replica.Replica, *ending) {
	choice := s.Router.Choose(routing.Request{
		Pool:    j.pool,
		Model:   j.model,
		Prefix:  j.prefix,
		Tier:    j.tier(),
		Bytes:   len(j.body),
		Exclude: j.excluded,
		Prefer:  j.pass.PreferredUpstream(),
	}, rand.Uint64(), time.Now())
	name := ""
	if choice.Replica != nil {
		name = choice.Replica.Name()
	}
	s.Logger.Info().
		Str("decision", "route").
		Str("request-id", j.id).
		Str("class", j.class()).
		Int("tier", j.tier()).
		Str("pool", j.pool).
		Int("candidates", choice.Candidates).
		Str("upstream", name).
		Dur("cost-ms", choice.Cost).
		Str("reason", choice.Reason).
		Msg("upstream chosen")
	if choice.Replica == nil {
		return nil, &ending{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    choice.Reason,
			retryAfter: retryShortly,
		}
	}
	j.pass.SetUpstream(name)
	j.upstream = name
	j.attempts++
	return choice.Replica, nil
}

func (s *Server) call(j *job) upstream.Call {
	return upstream.Call{
		RequestID:    j.id,
		Attempt:      fmt.Sprintf("%d", j.attempts),
		Method:       j.method,
		Path:         j.path,
		Header:       j.header.Clone(),
		Body:         j.body,
		Tier:         j.pass.Tier(),
		ResumeOffset: j.offset,
		PromptPrefix: j.prefix,
		AtMostOnce:   !j.rule.Idempotent(),
	}
}

// once sends one attempt and reads the whole answer; maybeRan tells whether the upstream can have acted on it.
func (s *Server) once(ctx context.Context, j *job, chosen *replica.Replica) (answer reply, maybeRan bool, err error) {
	ctx, cancel := s.attemptContext(ctx, j)
	defer cancel()
	chosen.Begin()
	defer chosen.End()
	began := time.Now()
	call := s.call(j)
	call.Address = chosen.Address()
	response, err := s.Upstream.Do(ctx, call)
	if err != nil {
		return reply{}, failedToRun(chosen, err), err
	}
	defer func() { _ = response.Body.Close() }()
	s.spendLink(chosen, len(j.body))
	if s.refusedByUpstream(chosen, response) {
		return reply{}, false, errLeaving
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		chosen.RecordFailure()
		return reply{}, true, err
	}
	s.spendLink(chosen, len(body))
	answer = reply{
		status:      response.StatusCode,
		contentType: response.Header.Get("Content-Type"),
		body:        body,
	}
	if j.pool == EnginePool {
		answer.chat = decodeChat(body)
	}
	if !answer.belongsTo(j.id, response.Header.Get(upstream.HeaderRequestID)) {
		s.crossed(j, chosen)
		return reply{}, true, errCrossed
	}
	chosen.RecordSuccess()
	chosen.RecordLatency(time.Since(began))
	return answer, true, nil
}

// decodeChat reads what routing needs of a whole chat answer; another answer gives nothing.
func decodeChat(body []byte) wire.ChatAnswer {
	var chat wire.ChatAnswer
	if json.Unmarshal(body, &chat) != nil {
		return wire.ChatAnswer{}
	}
	return chat
}

// belongsTo reports whether neither the header nor the body names another request.
func (r reply) belongsTo(id, header string) bool {
	return (header == "" || header == id) && (r.chat.ID == "" || r.chat.ID == id)
}

// tokens returns the tokens that an engine says it generated.
func (r reply) tokens() int {
	if r.chat.Usage == nil {
		return 0
	}
	return max(r.chat.Usage.CompletionTokens, 0)
}

// attemptContext leaves time for the other attempts when one hangs and may be repeated.
//
// A whole chat answer that is merely long must not be taken for hung, as all of it would be generated again.
func (s *Server) attemptContext(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	const muchLonger = 4
	left := time.Until(j.deadline())
	if !j.rule.Idempotent() {
		return context.WithTimeout(ctx, left)
	}
	part := left / time.Duration(max(maxAttempts-j.failures, 1))
	if j.pool == EnginePool {
		part = max(part, muchLonger*s.Estimates.ServiceTime(j.class()))
	}
	return context.WithTimeout(ctx, min(part, left))
}

func failedToRun(chosen *replica.Replica, err error) bool {
	chosen.RecordFailure()
	var failure *upstream.SendError
	if errors.As(err, &failure) {
		return failure.MaybeRan
	}
	return true
}

// refusedByUpstream reports an answer by which the upstream itself says that it did not run the request.
func (s *Server) refusedByUpstream(chosen *replica.Replica, response *http.Response) bool {
	if response.Header.Get(upstream.HeaderLeaving) != "" {
		s.MarkLeaving(chosen.Name(), "refusal")
	}
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(upstream.HeaderNotRun) != ""
}

func (s *Server) crossed(j *job, chosen *replica.Replica) {
	chosen.RecordFailure()
	s.Metrics.Update(j.class(), func(c *ClassCounts) { c.MismatchedAnswers++ })
	s.Logger.Warn().
		Str("request-id", j.id).
		Str("step", "read answer").
		Str("peer", chosen.Name()).
		Msg("answer to another request dropped")
}

// again reports whether another attempt may be made: freely when nothing ran, else only idempotent work within the budget.
func (s *Server) again(ctx context.Context, j *job, chosen *replica.Replica, maybeRan bool) bool {
	j.failures++
	if ctx.Err() != nil || j.failures >= maxAttempts {
		return false
	}
	j.excluded = append(j.excluded, chosen.Name())
	if !maybeRan {
		return true
	}
	if !j.rule.Idempotent() || !s.RetryBudget(j.pool).Take() {
		return false
	}
	s.Metrics.Update(j.class(), func(c *ClassCounts) { c.Retries++ })
	return true
}

// judge turns an upstream's answer into an outcome.
func (s *Server) judge(j *job, answer reply) (reply, outcome.Outcome, *ending) {
	switch {
	case answer.status < http.StatusBadRequest:
		s.RetryBudget(j.pool).RecordSuccess(s.Rules().RetryShare())
		return answer, outcome.Completed, nil
	case answer.status < http.StatusInternalServerError || j.rule.Idempotent():
		return answer, outcome.Failed, nil
	}
	return answer, outcome.Unknown, &ending{
		status:     http.StatusBadGateway,
		outcome:    outcome.Unknown,
		message:    fmt.Sprintf("the upstream answered %d; the request may have run", answer.status),
		retryAfter: retryShortly,
	}
}

func lost(err error, mayHaveRun bool) (outcome.Outcome, *ending) {
	e := &ending{
		status:     http.StatusServiceUnavailable,
		outcome:    outcome.NotRun,
		message:    "no upstream took the request",
		retryAfter: retryShortly,
	}
	if mayHaveRun {
		e.status = http.StatusBadGateway
		e.outcome = outcome.Unknown
		e.message = "the upstream's answer was lost; the request may have run"
	}
	if errors.Is(err, context.DeadlineExceeded) {
		e.status = http.StatusGatewayTimeout
	}
	return e.outcome, e
}

func (s *Server) spendLink(chosen *replica.Replica, bytes int) {
	if chosen.Region() != s.Location.Region {
		s.Router.LinkBudget.Spend(bytes, time.Now())
	}
}
