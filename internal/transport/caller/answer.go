package caller

import (
	"net/http"
	"strconv"
	"time"

	"lagoongw/internal/coordination/entry"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/transport/httpapi"
)

// Response headers that identify a request and tell its outcome.
const (
	HeaderRequestID = "Lagoongw-Request-Id"
	HeaderOutcome   = "Lagoongw-Outcome"
)

// errorAnswer is the answer to a request for which there is no upstream answer to forward.
type errorAnswer struct {
	status     int
	outcome    outcome.Outcome
	message    string
	field      string // invalid header or body field, empty for none
	retryAfter time.Duration
	addresses  []string // entry VMs to use instead
}

// writeError records the outcome of a request and answers it with an error.
func (s *Server) writeError(w http.ResponseWriter, j *job, e errorAnswer) {
	status := j.status(e.outcome, e.message)
	status.RetryAfterMs = int(e.retryAfter.Milliseconds())
	status.Addresses = e.addresses
	s.recordOutcome(j, status)
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

// recordOutcome stores, counts, and logs the outcome of a request.
func (s *Server) recordOutcome(j *job, status wire.RequestStatus) {
	j.answered = true
	s.Outcomes.Put(status)
	s.Metrics.Update(j.class(), func(c *ClassCounts) { c.countOutcome(outcome.Outcome(status.Outcome)) })
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

// writeAnswer records the outcome of a request and forwards the upstream's answer, which may be one recorded earlier.
func (s *Server) writeAnswer(w http.ResponseWriter, j *job, result outcome.Outcome, answer upstreamAnswer) {
	s.recordOutcome(j, j.status(result, ""))
	w.Header().Set(HeaderRequestID, j.id)
	w.Header().Set(HeaderOutcome, string(result))
	if answer.contentType != "" {
		w.Header().Set("Content-Type", answer.contentType)
	}
	w.WriteHeader(answer.status)
	s.writeBody(w, answer.body)
}

// writeBody writes a body in pieces. A caller that does not take the next piece within CallerStallTimeout is cut off, since
// the body and the permit are held until it is written.
func (s *Server) writeBody(w http.ResponseWriter, body []byte) {
	const pieceBytes = 64 << 10
	controller := http.NewResponseController(w)
	for len(body) > 0 {
		piece := body[:min(len(body), pieceBytes)]
		_ = controller.SetWriteDeadline(time.Now().Add(s.CallerStallTimeout))
		if _, err := w.Write(piece); err != nil {
			return
		}
		body = body[len(piece):]
	}
}

func badRequest(field, message string) *errorAnswer {
	return &errorAnswer{
		status:  http.StatusBadRequest,
		outcome: outcome.NotRun,
		field:   field,
		message: message,
	}
}

// otherAddresses returns the caller addresses of the other entry VMs, in the order in which the team should try them.
func (s *Server) otherAddresses(team string) []string {
	var others []wire.Member
	for _, m := range s.Members() {
		if m.Name != s.Name {
			others = append(others, m)
		}
	}
	return entry.Order(others, team, s.Location)
}
