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

// job is the state of a caller's request while this node handles it.
type job struct {
	id           string
	started      time.Time
	admitted     time.Time
	team         *rule.Team
	rule         *rule.Rule
	pool         string
	method       string
	path         string // with the query, as sent to the upstream
	header       http.Header
	body         []byte
	held         int64 // bytes of bodies counted against MaxHeldBytes
	model        string
	promptPrefix string // hash of the prompt's start
	stream       bool
	key          string // idempotency key, empty for none
	permit       *admission.Permit
	ticket       *claims.Ticket // nil unless the key is claimed in the log
	issuedKey    bool           // the key was issued by this node
	attempts     int            // number of the latest attempt
	failures     int            // failed attempts, except preempted ones that were requeued
	excluded     []string       // upstreams of failed attempts
	upstream     string         // upstream of the latest attempt
	offset       int            // of the next stream event
	version      string         // software version of the upstream that brought the first event
	lastEvent    time.Time
	answered     bool // the outcome is recorded and the answer written, or about to be
}

// forwardedHeaders lists the caller's request headers that are sent on to upstreams.
var forwardedHeaders = []string{
	"Accept",
	"Content-Type",
	"Idempotency-Key",
}

func (s *Server) newJob(r *http.Request) *job {
	j := &job{
		id:      fmt.Sprintf("%s-%s-%d", s.Name, s.Incarnation, s.requestCount.Add(1)),
		started: time.Now(),
		method:  r.Method,
		path:    r.URL.RequestURI(),
		header:  http.Header{},
		key:     r.Header.Get("Idempotency-Key"),
	}
	for _, name := range forwardedHeaders {
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

// due returns when the first token is due; for a class without a first-token target, it returns the deadline.
func (j *job) due() time.Time {
	if j.rule.FirstTokenTarget() > 0 {
		return j.started.Add(j.rule.FirstTokenTarget())
	}
	return j.deadline()
}

// scope returns the namespace of the idempotency key: the same key of two teams or pools is two keys.
func (j *job) scope() string {
	return j.team.Name() + "/" + j.pool
}

func (j *job) claimKey() string {
	return j.scope() + "/" + j.key
}

// digest hashes the request, to detect a key that is reused for a different one.
func (j *job) digest() string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\x00%s\x00", j.method, j.path)
	hash.Write(j.body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
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

// newClaimRecord returns the record of a finished request; it omits a body that was streamed, is long or not valid UTF-8.
func newClaimRecord(result outcome.Outcome, answer upstreamAnswer) wire.ClaimRecord {
	const maxKeptBodyBytes = 16 << 10
	record := wire.ClaimRecord{
		Outcome:     string(result),
		Status:      answer.status,
		ContentType: answer.contentType,
	}
	if !answer.streamed && len(answer.body) <= maxKeptBodyBytes && utf8.Valid(answer.body) {
		record.Body = string(answer.body)
		record.BodyKept = true
	}
	return record
}

// upstreamAnswer is an upstream's whole answer; chat is set for engines only. The body of a streamed answer is not kept.
type upstreamAnswer struct {
	streamed    bool
	status      int
	contentType string
	body        []byte
	chat        wire.ChatAnswer
}

// verdictOutcome maps the verdicts that forbid a dispatch, except Replay, to the outcome that the caller is told.
var verdictOutcome = map[claim.Verdict]outcome.Outcome{
	claim.Unknown:  outcome.Unknown,
	claim.Mismatch: outcome.NotRun,
	claim.NotRun:   outcome.NotRun,
}
