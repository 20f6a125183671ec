package caller

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"lagoongw/internal/transport/httpapi"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// issueKey gives a team a key that this node alone will dispatch, also while the log is out.
func (s *Server) issueKey(w http.ResponseWriter, r *http.Request) {
	j := s.newJob(r)
	if e := s.identify(r, j); e != nil {
		s.end(w, j, *e)
		return
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	httpapi.WriteJSON(w, http.StatusOK, wire.KeyAnswer{
		Key:     s.issued.Issue(hex.EncodeToString(random[:]), time.Now()),
		Address: s.Address,
		KeepMs:  int(s.KeyLifetime.Milliseconds()),
	})
}

// claimIssued decides a request with an issued key from this node's memory; nil means that it may be dispatched.
func (s *Server) claimIssued(w http.ResponseWriter, j *job) *ending {
	s.issuedMu.Lock()
	decision, recorded := s.issued.Begin(j.scope(), j.key, j.digest(), time.Now())
	s.issuedMu.Unlock()
	s.Logger.Info().
		Str("decision", "claim-issued").
		Str("request-id", j.id).
		Str("key", j.key).
		Str("verdict", string(decision.Verdict)).
		Str("reason", decision.Reason).
		Msg("claim decided")
	switch decision.Verdict {
	case claim.Dispatch:
		j.issued = true
		return nil
	case claim.Replay:
		return s.replayRecord(w, j, outcome.Outcome(recorded.Outcome), recorded)
	case claim.NotRun:
		return &ending{
			status:     http.StatusMisdirectedRequest,
			outcome:    outcome.NotRun,
			message:    decision.Reason,
			retryAfter: retryShortly,
			addresses:  s.addressOfIssuer(j.key),
		}
	}
	return undecided(decision)
}

func (s *Server) addressOfIssuer(key string) []string {
	parsed, _ := claim.ParseIssuedKey(key)
	for _, m := range s.Members() {
		if m.Name == parsed.Node() {
			return []string{m.CallerAddress}
		}
	}
	return nil
}

func (s *Server) closeIssued(j *job, result outcome.Outcome, answer reply) {
	s.issuedMu.Lock()
	defer s.issuedMu.Unlock()
	if result == outcome.NotRun {
		s.issued.Release(j.scope(), j.key)
		return
	}
	s.issued.Finish(j.scope(), j.key, claimOutcome(result, answer))
}
