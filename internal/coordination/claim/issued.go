package claim

import (
	"strconv"
	"strings"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// An issued key has five parts, separated by dots: the prefix, the node, the incarnation, the issue time in
// milliseconds and a random text.
const (
	issuedKeyPrefix = "issued"
	issuedKeyParts  = 5
)

// Limits on what a KeyIssuer remembers.
const (
	// MaxIssuedEntries is the maximum number of requests with issued keys; further ones are not dispatched.
	MaxIssuedEntries = 1 << 16
	// maxIssuedBodyBytes is the maximum size of the answers; further ones are not kept.
	maxIssuedBodyBytes = 16 << 20
)

// IssuedKey is a parsed key that a node issued. Only the incarnation that issued it may dispatch requests with the key,
// so no log is needed.
type IssuedKey struct {
	node        string
	incarnation string
	issuedAt    time.Time
}

// Node returns the name of the node that issued the key.
func (k IssuedKey) Node() string { return k.node }

// ParseIssuedKey parses a key made by Issue; ok is false for any other key.
func ParseIssuedKey(key string) (parsed IssuedKey, ok bool) {
	parts := strings.Split(key, ".")
	if len(parts) != issuedKeyParts || parts[0] != issuedKeyPrefix {
		return IssuedKey{}, false
	}
	ms, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return IssuedKey{}, false
	}
	return IssuedKey{
		node:        parts[1],
		incarnation: parts[2],
		issuedAt:    time.UnixMilli(ms),
	}, true
}

// issuedEntry is a dispatched request with an issued key, and its outcome once done is set.
type issuedEntry struct {
	digest string
	record wire.ClaimRecord
	done   bool
	// released is set if the request was not sent, so that the key can be used again.
	released bool
}

// issuedExpiry is the scope and key of an entry, and the time at which the entry was added.
type issuedExpiry struct {
	scopedKey string
	addedAt   time.Time
}

// KeyIssuer issues keys and decides the requests that use them; it is not safe for concurrent use.
type KeyIssuer struct {
	// Node is the name of this node.
	Node string
	// Incarnation identifies this start of the node.
	Incarnation string
	// Lifetime is how long a key is accepted after it was issued.
	Lifetime time.Duration

	// entries holds the dispatched requests by scope and key, joined by a slash.
	entries map[string]*issuedEntry
	// expiryQueue holds the entries in the order in which they were added.
	expiryQueue []issuedExpiry
	// bodyBytes is the size of the answers in the entries.
	bodyBytes int
}

// Issue returns a new key; random must be unique among the keys of this incarnation.
func (i *KeyIssuer) Issue(random string, now time.Time) string {
	return strings.Join(
		[]string{issuedKeyPrefix, i.Node, i.Incarnation, strconv.FormatInt(now.UnixMilli(), 10), random}, ".",
	)
}

// Begin decides whether a request with an issued key may be dispatched; scope separates the keys of different teams.
//
// The returned record holds the outcome if the verdict is Replay, and is empty otherwise.
func (i *KeyIssuer) Begin(scope, key, digest string, now time.Time) (Decision, wire.ClaimRecord) {
	parsed, ok := ParseIssuedKey(key)
	switch {
	case !ok:
		return refuseIssued(NotRun, "not a key that an entry VM issued"), wire.ClaimRecord{}
	case parsed.node != i.Node:
		return refuseIssued(NotRun, "this key belongs to entry VM "+parsed.node), wire.ClaimRecord{}
	case parsed.incarnation != i.Incarnation:
		return refuseIssued(
			Unknown, "the entry VM was restarted since it issued the key; the request may have run",
		), wire.ClaimRecord{}
	case now.Sub(parsed.issuedAt) >= i.Lifetime || parsed.issuedAt.After(now.Add(time.Minute)):
		return refuseIssued(Unknown, "the key is older than keys are honoured; the request may have run"), wire.ClaimRecord{}
	}
	return i.begin(scope+"/"+key, digest, now)
}

// begin decides on a request with a key of this incarnation that has not expired.
func (i *KeyIssuer) begin(scopedKey, digest string, now time.Time) (Decision, wire.ClaimRecord) {
	i.expire(now)
	if i.entries == nil {
		i.entries = map[string]*issuedEntry{}
	}
	known := i.entries[scopedKey]
	switch {
	case known != nil && known.released:
		*known = issuedEntry{digest: digest}
		return Decision{Verdict: Dispatch}, wire.ClaimRecord{}
	case known == nil && len(i.entries) >= MaxIssuedEntries:
		return refuseIssued(NotRun, "this entry VM remembers as many issued keys as it can"), wire.ClaimRecord{}
	case known == nil:
		i.entries[scopedKey] = &issuedEntry{digest: digest}
		i.expiryQueue = append(i.expiryQueue, issuedExpiry{
			scopedKey: scopedKey,
			addedAt:   now,
		})
		return Decision{Verdict: Dispatch}, wire.ClaimRecord{}
	case known.digest != digest:
		return refuseIssued(Mismatch, "same key, other request"), wire.ClaimRecord{}
	case !known.done:
		return refuseIssued(Unknown, "the request with this key is still running"), wire.ClaimRecord{}
	case outcome.Outcome(known.record.Outcome) == outcome.Unknown:
		return refuseIssued(Unknown, "an earlier attempt may have run"), wire.ClaimRecord{}
	}
	return Decision{Verdict: Replay}, known.record
}

func refuseIssued(verdict Verdict, reason string) Decision {
	return Decision{
		Verdict: verdict,
		Reason:  reason,
	}
}

// Finish records the outcome of a dispatched request.
func (i *KeyIssuer) Finish(scope, key string, r wire.ClaimRecord) {
	known := i.entries[scope+"/"+key]
	if known == nil || known.done {
		return
	}
	if i.bodyBytes+len(r.Body) > maxIssuedBodyBytes {
		r.Body = ""
		r.BodyKept = false
	}
	i.bodyBytes += len(r.Body)
	known.record = r
	known.done = true
}

// Release frees the key of a request that was not sent at all, so that the key can be used again.
func (i *KeyIssuer) Release(scope, key string) {
	if known := i.entries[scope+"/"+key]; known != nil && !known.done {
		known.released = true
	}
}

// expire removes the entries whose keys Begin refuses because of their age.
//
// The allowance is longer than the minute by which Begin lets a key's issue time lie ahead of this node's clock.
func (i *KeyIssuer) expire(now time.Time) {
	const skewAllowance = 2 * time.Minute
	for len(i.expiryQueue) > 0 && now.Sub(i.expiryQueue[0].addedAt) > i.Lifetime+skewAllowance {
		first := i.expiryQueue[0].scopedKey
		i.bodyBytes -= len(i.entries[first].record.Body)
		delete(i.entries, first)
		i.expiryQueue = i.expiryQueue[1:]
	}
}
