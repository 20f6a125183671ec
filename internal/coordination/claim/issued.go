package claim

import (
	"strconv"
	"strings"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

const (
	issuedPrefix = "issued"
	issuedParts  = 5
)

// IssuedKey is a key that only the node start which issued it may dispatch, so that no log is needed.
type IssuedKey struct {
	node        string
	incarnation string
	issued      time.Time
}

// Node returns the name of the node that issued the key.
func (k IssuedKey) Node() string { return k.node }

// ParseIssuedKey reads a key made by Issue; ok is false for any other key.
func ParseIssuedKey(key string) (parsed IssuedKey, ok bool) {
	parts := strings.Split(key, ".")
	if len(parts) != issuedParts || parts[0] != issuedPrefix {
		return IssuedKey{}, false
	}
	ms, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return IssuedKey{}, false
	}
	return IssuedKey{
		node:        parts[1],
		incarnation: parts[2],
		issued:      time.UnixMilli(ms),
	}, true
}

type issuedEntry struct {
	digest string
	result wire.ClaimRecord
	done   bool
}

type issuedAge struct {
	key string
	at  time.Time
}

// KeyIssuer decides the keys that one node start has issued; it is not safe for concurrent use.
type KeyIssuer struct {
	// Node and Incarnation name this start of this node.
	Node        string
	Incarnation string
	// Lifetime is how long a key is honoured.
	Lifetime time.Duration

	entries map[string]*issuedEntry
	ages    []issuedAge
}

// Issue returns a new key; random must be unlike that of any other key of this start.
func (s *KeyIssuer) Issue(random string, now time.Time) string {
	return strings.Join([]string{issuedPrefix, s.Node, s.Incarnation, strconv.FormatInt(now.UnixMilli(), 10), random}, ".")
}

// Begin decides whether the request with an issued key may be dispatched now; scope keeps the keys of teams apart.
func (s *KeyIssuer) Begin(scope, key, digest string, now time.Time) (Decision, wire.ClaimRecord) {
	parsed, ok := ParseIssuedKey(key)
	switch {
	case !ok:
		return refuseIssued(NotRun, "not a key that an entry VM issued"), wire.ClaimRecord{}
	case parsed.node != s.Node:
		return refuseIssued(NotRun, "this key belongs to entry VM "+parsed.node), wire.ClaimRecord{}
	case parsed.incarnation != s.Incarnation:
		return refuseIssued(Unknown, "the entry VM was restarted since it issued the key; the request may have run"), wire.ClaimRecord{}
	case now.Sub(parsed.issued) >= s.Lifetime || parsed.issued.After(now.Add(time.Minute)):
		return refuseIssued(Unknown, "the key is older than keys are honoured; the request may have run"), wire.ClaimRecord{}
	}
	return s.begin(scope+"/"+key, digest, now)
}

func (s *KeyIssuer) begin(key, digest string, now time.Time) (Decision, wire.ClaimRecord) {
	s.expire(now)
	if s.entries == nil {
		s.entries = map[string]*issuedEntry{}
	}
	known := s.entries[key]
	switch {
	case known == nil:
		s.entries[key] = &issuedEntry{digest: digest}
		s.ages = append(s.ages, issuedAge{
			key: key,
			at:  now,
		})
		return Decision{Verdict: Dispatch}, wire.ClaimRecord{}
	case known.digest != digest:
		return refuseIssued(Mismatch, "same key, other request"), wire.ClaimRecord{}
	case !known.done:
		return refuseIssued(Unknown, "the request with this key is still running"), wire.ClaimRecord{}
	case outcome.Outcome(known.result.Outcome) == outcome.Unknown:
		return refuseIssued(Unknown, "an earlier attempt may have run"), wire.ClaimRecord{}
	}
	return Decision{Verdict: Replay}, known.result
}

func refuseIssued(verdict Verdict, reason string) Decision {
	return Decision{
		Verdict: verdict,
		Reason:  reason,
	}
}

// Finish records the outcome of a dispatched request.
func (s *KeyIssuer) Finish(scope, key string, result wire.ClaimRecord) {
	if known := s.entries[scope+"/"+key]; known != nil {
		known.result = result
		known.done = true
	}
}

// Release frees the key of a request of which no byte was sent.
func (s *KeyIssuer) Release(scope, key string) {
	if known := s.entries[scope+"/"+key]; known != nil && !known.done {
		delete(s.entries, scope+"/"+key)
	}
}

// expire forgets entries for which the key itself is refused by its age.
func (s *KeyIssuer) expire(now time.Time) {
	const slack = 2 * time.Minute
	for len(s.ages) > 0 && now.Sub(s.ages[0].at) > s.Lifetime+slack {
		delete(s.entries, s.ages[0].key)
		s.ages = s.ages[1:]
	}
}
