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
	errMismatchedAnswer = errors.New("answer belongs to another request")
	errAnswerTooLong    = errors.New("answer is longer than this entry VM can hold")
	errRefused          = errors.New("upstream refused the request: it is leaving or full")
	errDoubtfulRefusal  = errors.New("upstream refused a request that may be another one")
)

// sendWithRetries sends the request until an upstream answers or mayRetry allows no further attempt.
func (s *Server) sendWithRetries(ctx context.Context, j *job) (upstreamAnswer, outcome.Outcome, *errorAnswer) {
	anyMaybeRan := false
	for {
		chosen, e := s.chooseUpstream(j)
		if e != nil {
			return upstreamAnswer{}, s.outcomeWithoutUpstream(e, anyMaybeRan), e
		}
		answer, maybeRan, err := s.sendOnce(ctx, j, chosen)
		if err == nil {
			return s.classifyAnswer(j, answer)
		}
		anyMaybeRan = anyMaybeRan || maybeRan
		// Another attempt would have an answer as long as this one.
		if errors.Is(err, errAnswerTooLong) || !s.mayRetry(ctx, j, chosen, maybeRan) {
			result, e := sendErrorAnswer(err, anyMaybeRan)
			return upstreamAnswer{}, result, e
		}
	}
}

// outcomeWithoutUpstream returns the outcome when no upstream is left to choose. If any earlier attempt may have run,
// it first changes the outcome in e to Unknown.
func (s *Server) outcomeWithoutUpstream(e *errorAnswer, anyMaybeRan bool) outcome.Outcome {
	if anyMaybeRan {
		e.outcome = outcome.Unknown
	}
	return e.outcome
}

// chooseUpstream picks an upstream for the next attempt and logs the choice.
func (s *Server) chooseUpstream(j *job) (*replica.Replica, *errorAnswer) {
	choice := s.Router.Choose(routing.Request{
		Pool:    j.pool,
		Model:   j.model,
		Prefix:  j.promptPrefix,
		Tier:    j.tier(),
		Bytes:   len(j.body),
		Exclude: j.excluded,
		Bound:   j.offset > 0,
		Version: j.version,
		Prefer:  j.permit.PreferredUpstream(),
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
		return nil, &errorAnswer{
			status:     http.StatusServiceUnavailable,
			outcome:    outcome.NotRun,
			message:    choice.Reason,
			retryAfter: defaultRetryAfter,
		}
	}
	j.permit.SetUpstream(name)
	j.upstream = name
	j.attempts++
	return choice.Replica, nil
}

// newCall returns the call for the current attempt, without an address.
func (s *Server) newCall(j *job) upstream.Call {
	return upstream.Call{
		RequestID:    j.id,
		Attempt:      fmt.Sprintf("%d", j.attempts),
		Method:       j.method,
		Path:         j.path,
		Header:       j.header.Clone(),
		Body:         j.body,
		Tier:         j.permit.Tier(),
		ResumeOffset: j.offset,
		PromptPrefix: j.promptPrefix,
		AtMostOnce:   !j.rule.Idempotent(),
	}
}

// sendOnce sends one attempt and reads the whole answer; maybeRan reports whether the upstream may have run it.
func (s *Server) sendOnce(
	ctx context.Context, j *job, chosen *replica.Replica,
) (answer upstreamAnswer, maybeRan bool, err error) {
	ctx, cancel := s.attemptContext(ctx, j)
	defer cancel()
	chosen.Begin()
	defer chosen.End()
	began := time.Now()
	call := s.newCall(j)
	call.Address = chosen.Address()
	response, err := s.Upstream.Do(ctx, call)
	if err != nil {
		return upstreamAnswer{}, recordSendError(chosen, err), err
	}
	defer func() { _ = response.Body.Close() }()
	s.spendLinkBudget(chosen, len(j.body))
	if maybeRan, err := s.refusal(j, chosen, response); err != nil {
		return upstreamAnswer{}, maybeRan, err
	}
	body, err := s.readAnswer(j, response.Body)
	if errors.Is(err, errAnswerTooLong) {
		return upstreamAnswer{}, true, err
	}
	if err != nil {
		chosen.RecordFailure()
		return upstreamAnswer{}, true, err
	}
	s.spendLinkBudget(chosen, len(body))
	answer = upstreamAnswer{
		status:      response.StatusCode,
		contentType: response.Header.Get("Content-Type"),
		body:        body,
	}
	if j.pool == EnginePool {
		answer.chat = decodeChat(body)
	}
	if !answer.belongsTo(j.id, response.Header.Get(upstream.HeaderRequestID)) {
		s.recordMismatch(j, chosen)
		return upstreamAnswer{}, true, errMismatchedAnswer
	}
	chosen.RecordSuccess()
	chosen.RecordLatency(time.Since(began))
	return answer, true, nil
}

// readAnswer reads a whole answer; errAnswerTooLong means that this node can't hold it.
func (s *Server) readAnswer(j *job, body io.Reader) ([]byte, error) {
	before := j.held
	answer, err := s.readHeld(j, io.LimitReader(body, maxAnswerBytes+1))
	switch {
	case errors.Is(err, errHeldBytes):
		return nil, errAnswerTooLong
	case err != nil:
		return nil, err
	case len(answer) > maxAnswerBytes:
		s.dropTo(j, before)
		return nil, errAnswerTooLong
	}
	return answer, nil
}

// decodeChat decodes a whole chat answer; it returns the zero value for a body that is not one.
func decodeChat(body []byte) wire.ChatAnswer {
	var chat wire.ChatAnswer
	if json.Unmarshal(body, &chat) != nil {
		return wire.ChatAnswer{}
	}
	return chat
}

// belongsTo reports whether neither the request ID header nor the body names a request other than id.
func (a upstreamAnswer) belongsTo(id, headerID string) bool {
	return (headerID == "" || headerID == id) && (a.chat.ID == "" || a.chat.ID == id)
}

// tokens returns the number of generated tokens that an engine reports, 0 if it reports none.
func (a upstreamAnswer) tokens() int {
	if a.chat.Usage == nil {
		return 0
	}
	return max(a.chat.Usage.CompletionTokens, 0)
}

// attemptContext bounds an idempotent attempt so that time is left for the remaining attempts if it hangs.
//
// The bound for a chat request is at least a multiple of the usual service time: an answer that only takes long to
// generate must not be cut off, since a retry would generate all of it again.
func (s *Server) attemptContext(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	const serviceTimeFactor = 4
	remaining := time.Until(j.deadline())
	if !j.rule.Idempotent() {
		return context.WithTimeout(ctx, remaining)
	}
	timeout := remaining / time.Duration(max(maxAttempts-j.failures, 1))
	if j.pool == EnginePool {
		timeout = max(timeout, serviceTimeFactor*s.Estimates.ServiceTime(j.class()))
	}
	return context.WithTimeout(ctx, min(timeout, remaining))
}

// recordSendError counts the failure against the upstream and reports whether the upstream may have run the request.
func recordSendError(chosen *replica.Replica, err error) bool {
	chosen.RecordFailure()
	var sendErr *upstream.SendError
	if errors.As(err, &sendErr) {
		return sendErr.MaybeRan
	}
	return true
}

// refusal returns an error if the upstream states that it did not run the request; maybeRan reports that it may say so of another
// one. It also marks the upstream as leaving if a header of the response says so.
func (s *Server) refusal(j *job, chosen *replica.Replica, response *upstream.Response) (maybeRan bool, err error) {
	if response.Header.Get(upstream.HeaderLeaving) != "" {
		s.MarkLeaving(chosen.Name(), "refusal")
	}
	switch {
	case response.Refuses(j.id):
		return false, errRefused
	case response.Refusal():
		s.recordMismatch(j, chosen)
		return true, errDoubtfulRefusal
	}
	return false, nil
}

// recordMismatch counts and logs an answer that belongs to another request.
func (s *Server) recordMismatch(j *job, chosen *replica.Replica) {
	chosen.RecordFailure()
	s.Metrics.Update(j.class(), func(c *ClassCounts) { c.MismatchedAnswers++ })
	s.Logger.Warn().
		Str("request-id", j.id).
		Str("step", "read answer").
		Str("peer", chosen.Name()).
		Msg("dropped an answer that belongs to another request")
}

// mayRetry counts a failed attempt and reports whether another one may be made: up to maxAttempts, and while ctx is not
// done. After an attempt that may have run, the request must also be idempotent and the retry budget must allow it.
func (s *Server) mayRetry(ctx context.Context, j *job, chosen *replica.Replica, maybeRan bool) bool {
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

// classifyAnswer derives the outcome from the status of an upstream's answer. A server error on a request that is not
// idempotent leaves the outcome unknown.
func (s *Server) classifyAnswer(j *job, answer upstreamAnswer) (upstreamAnswer, outcome.Outcome, *errorAnswer) {
	switch {
	case answer.status < http.StatusBadRequest:
		s.RetryBudget(j.pool).RecordSuccess(s.Rules().RetryShare())
		return answer, outcome.Completed, nil
	case answer.status < http.StatusInternalServerError || j.rule.Idempotent():
		return answer, outcome.Failed, nil
	}
	return answer, outcome.Unknown, &errorAnswer{
		status:     http.StatusBadGateway,
		outcome:    outcome.Unknown,
		message:    fmt.Sprintf("the upstream answered %d; the request may have run", answer.status),
		retryAfter: defaultRetryAfter,
	}
}

// sendErrorAnswer returns the outcome and the answer after the last attempt failed with err; anyMaybeRan reports
// whether any of the attempts may have run.
func sendErrorAnswer(err error, anyMaybeRan bool) (outcome.Outcome, *errorAnswer) {
	e := &errorAnswer{
		status:     http.StatusServiceUnavailable,
		outcome:    outcome.NotRun,
		message:    "no upstream took the request",
		retryAfter: defaultRetryAfter,
	}
	if anyMaybeRan {
		e.status = http.StatusBadGateway
		e.outcome = outcome.Unknown
		e.message = "the upstream's answer was lost; the request may have run"
	}
	if errors.Is(err, errAnswerTooLong) {
		e.message = "the upstream's answer is longer than this entry VM can hold; the request has run"
		e.retryAfter = 0
	}
	if errors.Is(err, context.DeadlineExceeded) {
		e.status = http.StatusGatewayTimeout
	}
	return e.outcome, e
}

// spendLinkBudget charges the link budget for bytes exchanged with an upstream in another region.
func (s *Server) spendLinkBudget(chosen *replica.Replica, bytes int) {
	if chosen.Region() != s.Location.Region {
		s.Router.LinkBudget.Spend(bytes, time.Now())
	}
}
