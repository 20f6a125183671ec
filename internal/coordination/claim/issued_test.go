package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

func newIssuer(incarnation string) *KeyIssuer {
	return &KeyIssuer{
		Node:        "entry-1",
		Incarnation: incarnation,
		Lifetime:    lifetime,
	}
}

func TestIssuedKeys(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	key := newIssuer("a").Issue("r1", now)
	completed := wire.ClaimRecord{Outcome: string(outcome.Completed)}
	for _, c := range []struct {
		name   string
		begin  func(s *KeyIssuer) Decision
		wanted Verdict
	}{
		{
			name:   "first request",
			begin:  func(s *KeyIssuer) Decision { return first(s.Begin("mill", key, "d", now)) },
			wanted: Dispatch,
		},
		{
			name: "repeated while running",
			begin: func(s *KeyIssuer) Decision {
				s.Begin("mill", key, "d", now)
				return first(s.Begin("mill", key, "d", now))
			},
			wanted: Unknown,
		},
		{
			name: "repeated after completion",
			begin: func(s *KeyIssuer) Decision {
				s.Begin("mill", key, "d", now)
				s.Finish("mill", key, completed)
				return first(s.Begin("mill", key, "d", now))
			},
			wanted: Replay,
		},
		{
			name: "repeated after a release",
			begin: func(s *KeyIssuer) Decision {
				s.Begin("mill", key, "d", now)
				s.Release("mill", key)
				return first(s.Begin("mill", key, "d", now))
			},
			wanted: Dispatch,
		},
		{
			name: "released after completion",
			begin: func(s *KeyIssuer) Decision {
				s.Begin("mill", key, "d", now)
				s.Finish("mill", key, completed)
				s.Release("mill", key)
				return first(s.Begin("mill", key, "d", now))
			},
			wanted: Replay,
		},
		{
			name: "different request with the same key",
			begin: func(s *KeyIssuer) Decision {
				s.Begin("mill", key, "d", now)
				return first(s.Begin("mill", key, "e", now))
			},
			wanted: Mismatch,
		},
		{
			name:   "after a restart of the node",
			begin:  func(*KeyIssuer) Decision { return first(newIssuer("b").Begin("mill", key, "d", now)) },
			wanted: Unknown,
		},
		{
			name:   "older than the lifetime",
			begin:  func(s *KeyIssuer) Decision { return first(s.Begin("mill", key, "d", now.Add(lifetime))) },
			wanted: Unknown,
		},
		{
			name: "at a different node",
			begin: func(*KeyIssuer) Decision {
				other := &KeyIssuer{
					Node:        "entry-2",
					Incarnation: "a",
					Lifetime:    lifetime,
				}
				return first(other.Begin("mill", key, "d", now))
			},
			wanted: NotRun,
		},
		{
			name:   "not an issued key",
			begin:  func(s *KeyIssuer) Decision { return first(s.Begin("mill", "issued.x", "d", now)) },
			wanted: NotRun,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.begin(newIssuer("a")).Verdict, c.wanted)
		})
	}
}

func first(decision Decision, _ wire.ClaimRecord) Decision { return decision }

// TestIssuedKeysAreBounded guards against remembering any number of requests with issued keys, and each repeat of one that
// was not sent, for as long as keys are honoured.
func TestIssuedKeysAreBounded(t *testing.T) {
	is := is.New(t)
	s := newIssuer("a")
	now := time.Unix(1_700_000_000, 0)
	key := func(i int) string { return s.Issue(fmt.Sprint(i), now) }
	for range 10 {
		is.Equal(first(s.Begin("mill", key(0), "d", now)).Verdict, Dispatch)
		s.Release("mill", key(0))
	}
	is.Equal(len(s.expiryQueue), 1)
	body := strings.Repeat("x", 16<<10)
	for i := range MaxIssuedEntries {
		is.Equal(first(s.Begin("mill", key(i), "d", now)).Verdict, Dispatch)
		s.Finish("mill", key(i), wire.ClaimRecord{
			Outcome:  string(outcome.Completed),
			Body:     body,
			BodyKept: true,
		})
	}
	is.Equal(s.bodyBytes, maxIssuedBodyBytes)
	decision, record := s.Begin("mill", key(0), "d", now)
	is.Equal(decision.Verdict, Replay)
	is.True(record.BodyKept)
	decision, record = s.Begin("mill", key(MaxIssuedEntries-1), "d", now)
	is.Equal(decision.Verdict, Replay)
	is.True(!record.BodyKept) // it ran, but its answer was not kept
	is.Equal(first(s.Begin("mill", key(MaxIssuedEntries), "d", now)).Verdict, NotRun)
	now = now.Add(lifetime + 3*time.Minute)
	is.Equal(first(s.Begin("mill", key(0), "d", now)).Verdict, Dispatch)
	is.Equal(len(s.entries), 1)
	is.Equal(s.bodyBytes, 0)
}
