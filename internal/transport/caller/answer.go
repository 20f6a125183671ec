package caller

import (
	"net/http"
	"strconv"
	"time"

	"lagoongw/internal/transport/httpapi"

	"lagoongw/internal/coordination/entry"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// Headers of every answer to a caller.
const (
	HeaderRequestID = "Lagoongw-Request-Id"
	HeaderOutcome   = "Lagoongw-Outcome"
)

// ending is the final word on a request that has no upstream answer to pass on.
type ending struct {
	status     int
	outcome    outcome.Outcome
	message    string
	field      string
	retryAfter time.Duration
	addresses  []string
}

func (s *Server) end(w http.ResponseWriter, j *job, e ending) {
	status := j.status(e.outcome, e.message)
	status.RetryAfterMs = int(e.retryAfter.Milliseconds())
	status.Addresses = e.addresses
	s.settle(j, status)
	w.Header().Set(HeaderRequestID, j.id)
	w.Header().Set(HeaderOutcome, string(e.outcome))
	if e.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((e.retryAfter+time.Second-1)/time.Second)))
	}
	httpapi.WriteJSON(w, e.status, wire.ErrorAnswer{
		Error: wire.ErrorDetail{
			Message: e.message,
			Type:    string(e.outcome),
			Field:   e.field,
		},
		RequestID:    j.id,
		Outcome:      string(e.outcome),
		RetryAfterMs: int(e.retryAfter.Milliseconds()),
		Addresses:    e.addresses,
	})
}

// settle remembers the outcome, counts it and writes its log line.
func (s *Server) settle(j *job, status wire.RequestStatus) {
	j.answered = true
	s.Outcomes.Put(status)
	s.Metrics.Update(j.class(), func(c *ClassCounts) { c.end(outcome.Outcome(status.Outcome)) })
	s.Logger.Info().
		Str("decision", "outcome").
		Str("request-id", j.id).
		Str("team", status.Team).
		Str("class", status.Class).
		Int("tier", status.Tier).
		Str("upstream", j.upstream).
		Str("outcome", status.Outcome).
		Str("reason", status.Reason).
		Int("attempts", j.attempts).
		Dur("took-ms", time.Since(j.started)).
		Msg("request ended")
}

func (s *Server) pass(w http.ResponseWriter, j *job, result outcome.Outcome, answer reply) {
	s.settle(j, j.status(result, ""))
	w.Header().Set(HeaderRequestID, j.id)
	w.Header().Set(HeaderOutcome, string(result))
	if answer.contentType != "" {
		w.Header().Set("Content-Type", answer.contentType)
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

func badRequest(field, message string) *ending {
	return &ending{
		status:  http.StatusBadRequest,
		outcome: outcome.NotRun,
		field:   field,
		message: message,
	}
}

func (s *Server) otherAddresses(team string) []string {
	var others []wire.Member
	for _, m := range s.Members() {
		if m.Name != s.Name {
			others = append(others, m)
		}
	}
	return entry.Order(others, team, s.Location)
}
