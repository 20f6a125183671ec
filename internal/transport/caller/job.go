package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"

	"lagoongw/internal/coordination/admission"
	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/rule"
	"lagoongw/internal/transport/claims"
)

// job is one caller's request on its way through the node.
type job struct {
	id       string
	started  time.Time
	admitted time.Time
	team     *rule.Team
	rule     *rule.Rule
	pool     string
	method   string
	path     string
	header   http.Header
	body     []byte
	model    string
	prefix   string
	stream   bool
	key      string
	pass     *admission.Permit
	ticket   *claims.Ticket
	issued   bool
	attempts int
	failures int
	excluded []string
	upstream string
	offset   int
	last     time.Time
	answered bool
}

// forwarded lists the caller's headers that upstreams get to see.
var forwarded = []string{
	"Accept",
	"Content-Type",
	"Idempotency-Key",
}

func (s *Server) newJob(r *http.Request) *job {
	j := &job{
		id:      fmt.Sprintf("%s-%s-%d", s.Name, s.Incarnation, s.requests.Add(1)),
		started: time.Now(),
		method:  r.Method,
		path:    r.URL.RequestURI(),
		header:  http.Header{},
		key:     r.Header.Get("Idempotency-Key"),
	}
	for _, name := range forwarded {
		if value := r.Header.Get(name); value != "" {
			j.header.Set(name, value)
		}
	}
	return j
}

func (j *job) class() string {
	if j.rule == nil {
		return "unmatched"
	}
	return j.rule.Class()
}

func (j *job) tier() int {
	if j.rule == nil {
		return admission.LowestTier
	}
	return j.rule.Tier()
}

func (j *job) deadline() time.Time {
	return j.started.Add(j.rule.Deadline())
}

// due is when the first token is owed; a class that is owed none is due at its deadline.
func (j *job) due() time.Time {
	if j.rule.FirstTokenTarget() > 0 {
		return j.started.Add(j.rule.FirstTokenTarget())
	}
	return j.deadline()
}

// scope keeps the keys of teams and services apart.
func (j *job) scope() string {
	return j.team.Name() + "/" + j.pool
}

func (j *job) claimKey() string {
	return j.scope() + "/" + j.key
}

// digest tells two requests with the same key apart.
func (j *job) digest() string {
	sum := sha256.New()
	_, _ = fmt.Fprintf(sum, "%s\x00%s\x00", j.method, j.path)
	sum.Write(j.body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

func (j *job) status(result outcome.Outcome, reason string) wire.RequestStatus {
	status := wire.RequestStatus{
		ID:       j.id,
		Outcome:  string(result),
		Reason:   reason,
		Class:    j.class(),
		Tier:     j.tier(),
		Upstream: j.upstream,
	}
	if j.team != nil {
		status.Team = j.team.Name()
	}
	return status
}

// claimOutcome is the record of a finished attempt; a long body is not kept.
func claimOutcome(result outcome.Outcome, answer reply) wire.ClaimRecord {
	const maxKeptBody = 16 << 10
	r := wire.ClaimRecord{
		Outcome:     string(result),
		Status:      answer.status,
		ContentType: answer.contentType,
	}
	if len(answer.body) <= maxKeptBody && utf8.Valid(answer.body) {
		r.Body = string(answer.body)
		r.BodyKept = true
	}
	return r
}

// reply is an upstream's whole answer.
type reply struct {
	status      int
	contentType string
	body        []byte
	chat        wire.ChatAnswer
}

var verdictOutcome = map[claim.Verdict]outcome.Outcome{
	claim.Unknown:  outcome.Unknown,
	claim.Mismatch: outcome.NotRun,
	claim.NotRun:   outcome.NotRun,
}
