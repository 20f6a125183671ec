package matrix

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/transport/node"
	"lagoongw/test/fleet"
	"lagoongw/test/lab"
	"lagoongw/test/standin"
)

// An invalid request must be rejected with an error that names the field, and must not be executed.
func TestInvalidRequestsAreRejected(t *testing.T) {
	l := lab.Start(t, lab.Settings{
		Nodes:    2,
		Engines:  1,
		Services: 1,
	})
	oversizedBody := strings.Repeat("x", 5<<20)
	for _, c := range []struct {
		name   string
		method string
		path   string
		token  string
		header http.Header
		body   string
		status int
		field  string
	}{
		{
			name:   "no token",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			body:   "{}",
			status: 401,
			field:  "Authorization",
		},
		{
			name:   "unknown token",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			token:  "nobody",
			body:   "{}",
			status: 401,
			field:  "Authorization",
		},
		{
			name:   "not JSON",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			token:  fleet.MillToken,
			body:   "hello",
			status: 400,
			field:  "body",
		},
		{
			name:   "no model",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			token:  fleet.MillToken,
			body:   `{"messages":[{"role":"user","content":"x"}]}`,
			status: 400,
			field:  "model",
		},
		{
			name:   "model name too long",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			token:  fleet.MillToken,
			body:   `{"model":"` + strings.Repeat("x", 257) + `","messages":[{"role":"user","content":"x"}]}`,
			status: 400,
			field:  "model",
		},
		{
			name:   "no messages",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			token:  fleet.MillToken,
			body:   `{"model":"planner"}`,
			status: 400,
			field:  "messages",
		},
		{
			name:   "body too long",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			token:  fleet.MillToken,
			body:   oversizedBody,
			status: 413,
			field:  "body",
		},
		{
			name:   "key too long",
			method: http.MethodPost,
			path:   "/services/orders/orders",
			token:  fleet.MillToken,
			header: http.Header{"Idempotency-Key": {strings.Repeat("k", 201)}},
			status: 400,
			field:  "Idempotency-Key",
		},
		{
			name:   "key issued too long ago",
			method: http.MethodPost,
			path:   "/services/orders/orders",
			token:  fleet.MillToken,
			header: http.Header{
				"Idempotency-Key":        {"old"},
				"Idempotency-Key-Issued": {"2020-01-01T00:00:00Z"},
			},
			status: 422,
			field:  "Idempotency-Key-Issued",
		},
		{
			name:   "no rule for this team",
			method: http.MethodPost,
			path:   "/services/orders/orders",
			token:  fleet.AdviceToken,
			body:   "x",
			status: 403,
		},
		{
			name:   "unknown model",
			method: http.MethodPost,
			path:   "/v1/chat/completions",
			token:  fleet.MillToken,
			body:   `{"model":"nonesuch","messages":[{"role":"user","content":"x"}]}`,
			status: 503,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			response, err := fleet.Send(t.Context(), l.Nodes[0].Process(), c.method, c.path, c.token, c.header, c.body)
			is.NoErr(err)
			is.Equal(response.Status, c.status)
			is.Equal(response.Outcome, "not-run")
			is.True(c.field == "" || strings.Contains(response.Body, `"field":"`+c.field+`"`))
			is.Equal(len(l.Executions()), 0)
		})
	}
}

// An idempotency key that was used for another body must be refused, also at another node.
func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:    2,
		Services: 1,
	})
	first, err := fleet.PostOrder(t.Context(), l.Nodes[0].Process(), fleet.MillToken, "cut-1", "12 panels")
	is.NoErr(err)
	is.Equal(first.Outcome, "completed")
	second, err := fleet.PostOrder(t.Context(), l.Nodes[1].Process(), fleet.MillToken, "cut-1", "13 panels")
	is.NoErr(err)
	is.Equal(second.Status, 422)
	is.Equal(second.Outcome, "not-run")
	is.Equal(l.Executions()["cut-1"], 1)
}

const (
	// outcomePolls limits how often a node is asked again for an outcome that another one has recorded.
	outcomePolls        = 200
	outcomePollInterval = 20 * time.Millisecond
)

// streamOnce requests a stream that must run at most once, at each node in turn if the key is the caller's own.
func streamOnce(t *testing.T, l *lab.Lab, ownKey bool) (first, repeated fleet.Response) {
	t.Helper()
	is := is.New(t)
	key, nodes := "shift-7", l.Nodes
	if !ownKey {
		issued, err := fleet.IssueKey(t.Context(), l.Nodes[0].Process(), fleet.MillToken)
		is.NoErr(err)
		key, nodes = issued, []*lab.Node{l.Nodes[0], l.Nodes[0]}
	}
	var responses []fleet.Response
	for _, n := range nodes {
		response, err := fleet.Send(t.Context(), n.Process(), http.MethodPost, "/v1/chat/completions", fleet.MillToken,
			http.Header{"Idempotency-Key": {key}},
			`{"model":"planner","stream":true,"max_tokens":6,"messages":[{"role":"user","content":"plan"}]}`)
		is.NoErr(err)
		l.WaitIdle()
		responses = append(responses, response)
	}
	return responses[0], responses[1]
}

// startAtMostOnceChat starts nodes whose rules say that streams must run at most once.
func startAtMostOnceChat(t *testing.T) *lab.Lab {
	return lab.Start(t, lab.Settings{
		Nodes:   2,
		Engines: 1,
		Rules:   strings.Replace(rules(), "deadline=12s idempotent=yes", "deadline=12s idempotent=no", 1),
	})
}

// A stream that has run and is requested again was answered with an empty 200, as if that were its text.
func TestRepeatedStreamIsNotAnsweredEmpty(t *testing.T) {
	for name, ownKey := range map[string]bool{"own key": true, "issued key": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := startAtMostOnceChat(t)
			first, repeated := streamOnce(t, l, ownKey)
			is.True(first.Complete)
			is.Equal(repeated.Status, 409)
			// Until the record of the outcome is in the log and read, another node can only say that it is unknown.
			for range outcomePolls {
				if repeated.Outcome != "unknown" {
					break
				}
				time.Sleep(outcomePollInterval)
				_, repeated = streamOnce(t, l, ownKey)
				is.Equal(repeated.Status, 409)
			}
			is.Equal(repeated.Outcome, "completed")
		})
	}
}

// A stream that must run at most once and broke off was reported as failed, which is final, while its claim says that the
// outcome is unknown.
func TestBrokenStreamHasTheOutcomeOfItsClaim(t *testing.T) {
	for name, ownKey := range map[string]bool{"own key": true, "issued key": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := startAtMostOnceChat(t)
			l.Engines[0].Set(once(standin.FaultTruncateStream))
			first, repeated := streamOnce(t, l, ownKey)
			is.True(len(first.ChunkOffsets) > 0 && !first.Complete)
			is.Equal(first.Outcome, "unknown")
			is.Equal(repeated.Outcome, "unknown")
			status, err := fleet.Send(t.Context(), l.Nodes[0].Process(), http.MethodGet, "/v1/requests/"+first.RequestID,
				fleet.MillToken, nil, "")
			is.NoErr(err)
			is.True(strings.Contains(status.Body, `"outcome":"unknown"`))
		})
	}
}

// While the log is unreachable, a node must refuse orders with callers' own keys without executing them, and must
// complete an order with a key that it issued, once even if the caller repeats it.
func TestOrdersDuringALogOutage(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:    2,
		Services: 1,
	})
	issued, err := fleet.IssueKey(t.Context(), l.Nodes[0].Process(), fleet.MillToken)
	is.NoErr(err)
	l.Platform.Set(always(standin.FaultRefuse))
	l.WaitUntil(func() bool { return !l.Nodes[0].Status().LogReachable })
	const orders = 20
	for i := range orders {
		key := strings.Repeat("k", i+1)
		response, err := fleet.PostOrder(t.Context(), l.Nodes[0].Process(), fleet.MillToken, key, key)
		is.NoErr(err)
		is.Equal(response.Outcome, "not-run")
		is.Equal(l.Executions()[key], 0)
	}
	for range 3 {
		response, err := fleet.PostOrder(t.Context(), l.Nodes[0].Process(), fleet.MillToken, issued, "12 panels")
		is.NoErr(err)
		is.Equal(response.Outcome, "completed")
	}
	atOtherNode, err := fleet.PostOrder(t.Context(), l.Nodes[1].Process(), fleet.MillToken, issued, "12 panels")
	is.NoErr(err)
	is.Equal(atOtherNode.Status, 421)
	is.Equal(l.Executions()[issued], 1)
}

// Every node must know the outcome of a request that another node took, and tell it to the team that sent it only.
func TestRequestStatusIsKnownAtEveryNode(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:    2,
		Services: 1,
	})
	order, err := fleet.PostOrder(t.Context(), l.Nodes[0].Process(), fleet.MillToken, "cut-1", "12 panels")
	is.NoErr(err)
	for _, n := range l.Nodes {
		response, err := fleet.Send(
			t.Context(), n.Process(), http.MethodGet, "/v1/requests/"+order.RequestID, fleet.MillToken, nil, "")
		is.NoErr(err)
		is.True(strings.Contains(response.Body, `"outcome":"completed"`))
	}
	otherTeam, err := fleet.Send(
		t.Context(), l.Nodes[0].Process(), http.MethodGet, "/v1/requests/"+order.RequestID, fleet.AdviceToken, nil, "")
	is.NoErr(err)
	is.Equal(otherTeam.Status, 404) // another team must not see the request
}

// Chunks must reach the caller while the stream is still open.
func TestStreamsAreFlushedChunkByChunk(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:         1,
		Engines:       1,
		Rules:         rules(),
		ConfigureNode: func(n *node.Node) { n.StreamIdleTimeout = time.Minute },
	})
	l.Engines[0].Set(once(standin.FaultStallStream)) // the stream stops after three chunks and stays open
	inFlight := 0
	chunks, err := fleet.ReadFirstChunks(t.Context(), l.Nodes[0].Process(), fleet.MillToken, "which coil?", 3,
		func() { inFlight = l.Nodes[0].Status().Pools[0].InFlight })
	is.NoErr(err)
	is.Equal(chunks, 3)
	is.Equal(inFlight, 1)
}

// The tokens of a response that is not streamed must count against the team's limit, as those of a stream do.
func TestTokensOfUnstreamedResponsesAreCharged(t *testing.T) {
	is := is.New(t)
	limitedRules := strings.Replace(rules(), "team=mill ", "team=mill tokens-per-second=10 ", 1)
	l := lab.Start(t, lab.Settings{
		Nodes:   1,
		Engines: 1,
		Rules:   limitedRules,
	})
	first, err := fleet.PostChat(t.Context(), l.Nodes[0].Process(), fleet.MillToken, "long", 200, false)
	is.NoErr(err)
	is.Equal(first.Outcome, "completed")
	second, err := fleet.PostChat(t.Context(), l.Nodes[0].Process(), fleet.MillToken, "again", 2, false)
	is.NoErr(err)
	is.Equal(second.Status, 429)
	is.Equal(second.Outcome, "not-run")
}
