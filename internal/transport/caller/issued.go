package caller

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/transport/httpapi"
)

// issueKey answers with a new idempotency key. Only this node may dispatch requests with it, so they need no claim in
// the log and can run while the log is unavailable.
func (s *Server) issueKey(w http.ResponseWriter, r *http.Request) {
	j := s.newJob(r)
	if e := s.authenticate(r, j); e != nil {
		s.writeError(w, j, *e)
		return
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	httpapi.WriteJSON(w, http.StatusOK, wire.KeyAnswer{
		Key:     s.keyIssuer.Issue(hex.EncodeToString(random[:]), time.Now()),
		Address: s.Address,
		KeepMs:  int(s.KeyLifetime.Milliseconds()),
	})
}

// claimIssuedKey decides from this node's memory whether a request with an issued key may be dispatched; it returns nil
// if so.
func (s *Server) claimIssuedKey(w http.ResponseWriter, j *job) *errorAnswer {
	s.keyIssuerMu.Lock()
	decision, recorded := s.keyIssuer.Begin(j.scope(), j.key, j.digest(), time.Now())
	s.keyIssuerMu.Unlock()
	s.Logger.Info().
		Str("decision", "claim-issued").
		Str("request-id", j.id).
		Str("key", j.key).
		Str("verdict", string(decision.Verdict)).
		Str("reason", decision.Reason).
		Msg("claim decided")
	switch decision.Verdict {
	case claim.Dispatch:
		j.issuedKey = true
		return nil
	case claim.Replay:
		return s.replayRecord(w, j, outcome.Outcome(recorded.Outcome), recorded)
	case claim.NotRun:
		if parsed, _ := claim.ParseIssuedKey(j.key); parsed.Node() == s.Name {
			return claimErrorAnswer(decision)
		}
		return &errorAnswer{
			status:     http.StatusMisdirectedRequest,
			outcome:    outcome.NotRun,
			message:    decision.Reason,
			retryAfter: defaultRetryAfter,
			addresses:  s.issuerAddress(j.key),
		}
	}
	return claimErrorAnswer(decision)
}

// issuerAddress returns the caller address of the node that issued the key, or nil if it is not a member.
func (s *Server) issuerAddress(key string) []string {
	parsed, _ := claim.ParseIssuedKey(key)
	for _, m := range s.Members() {
		if m.Name == parsed.Node() {
			return []string{m.CallerAddress}
		}
	}
	return nil
}

// closeIssuedKey records the outcome under an issued key, or releases the key if the request did not run.
func (s *Server) closeIssuedKey(j *job, result outcome.Outcome, answer upstreamAnswer) {
	s.keyIssuerMu.Lock()
	defer s.keyIssuerMu.Unlock()
	if result == outcome.NotRun {
		s.keyIssuer.Release(j.scope(), j.key)
		return
	}
	s.keyIssuer.Finish(j.scope(), j.key, newClaimRecord(result, answer))
}
