package gateway_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/retry"
)

// answerAfter returns a script that runs a request for a time.
func answerAfter(wait time.Duration, body string) script {
	return func(conn net.Conn, r *http.Request) bool {
		time.Sleep(wait)
		return answer(http.StatusOK, body)(conn, r)
	}
}

// streamAfter returns a script that streams all events after a time.
func streamAfter(wait time.Duration) script {
	return func(conn net.Conn, r *http.Request) bool {
		time.Sleep(wait)
		return eventStream(0)(conn, r)
	}
}

// allowRetries replaces the retry budget of a gateway.
func (g *testGateway) allowRetries(slack func() float64) {
	window := &retry.WindowBudget{
		Allowance: func() retry.Allowance {
			return retry.Allowance{
				Length: 10 * time.Second,
				Slack:  slack(),
			}
		},
		Nodes: func() int { return 1 },
	}
	g.gateway.RetryBudget = func(string) *retry.WindowBudget { return window }
}

// TestSlowUpstreamIsKeptUntilAnotherSendIsCertain guards against answers of 502 and streams that are broken off although the
// upstream is at work: it was given up for its silence before it was known whether the request could be sent anywhere else.
func TestSlowUpstreamIsKeptUntilAnotherSendIsCertain(t *testing.T) {
	unreachable := func(context.Context, string) (net.Conn, error) { return nil, errRefused }
	silent := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	never, always := func() float64 { return 0 }, func() float64 { return 20 }
	for name, c := range map[string]struct {
		slack func() float64
		// dial, if set, connects to the second upstream, which is else a sound one.
		dial   func(ctx context.Context, address string) (net.Conn, error)
		second script
	}{
		"no retry is granted":              {slack: never, second: answer(http.StatusOK, "other")},
		"no other upstream":                {slack: always},
		"the other refuses connections":    {slack: always, dial: unreachable},
		"the other accepts no connection":  {slack: always, dial: silent},
		"no retry and no other connection": {slack: never, dial: unreachable},
	} {
		for path, sound := range map[string]struct {
			first script
			body  string
		}{
			"/safe/x":      {first: answerAfter(900*time.Millisecond, "slow"), body: "slow"},
			"/resumable/x": {first: streamAfter(5 * time.Second), body: eventText(streamEvents)},
			"/resumable/y": {first: silentFor(4*time.Second, 2), body: eventText(streamEvents)},
		} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					scripts := map[string]script{"u1": sound.first}
					if c.second != nil || c.dial != nil {
						scripts["u2"] = c.second
					}
					g := newTestGateway(t, scripts)
					g.allowRetries(c.slack)
					g.gateway.Connections.Dial = func(ctx context.Context, address string) (net.Conn, error) {
						if address == "u2" && c.dial != nil {
							return c.dial(ctx, address)
						}
						return g.dial(ctx, address)
					}
					got := g.call(t.Context(), path, "{}", nil)
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, sound.body)
					is.True(got.whole)
					is.Equal(len(g.receivedRequests()), 1)
				})
			})
		}
	}
}

// TestSilentUpstreamIsGivenUpOnceAnotherSendIsCertain guards against requests that stay at an upstream which never answers though
// another one could, and against two upstreams that run a stream at the same time.
func TestSilentUpstreamIsGivenUpOnceAnotherSendIsCertain(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		first  script
		second script
		body   string
		// free is when a retry is granted, and after when the answer has come.
		free, after time.Duration
	}{
		"at once":                {path: "/safe/x", first: hang, second: answer(http.StatusOK, "good"), body: "good", after: 250 * time.Millisecond},
		"when a retry is free":   {path: "/safe/x", first: hang, second: answer(http.StatusOK, "good"), body: "good", free: 700 * time.Millisecond, after: 750 * time.Millisecond},
		"before the first event": {path: "/resumable/x", first: hang, second: eventStream(0), body: eventText(streamEvents), free: 5 * time.Second, after: 5150 * time.Millisecond},
		"between two events":     {path: "/resumable/x", first: stall(2), second: eventStream(0), body: eventText(streamEvents), free: 5 * time.Second, after: 5150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var closed time.Time
				g := newTestGateway(t, map[string]script{
					"u1": func(conn net.Conn, r *http.Request) bool {
						defer func() { closed = time.Now() }()
						return c.first(conn, r)
					},
					"u2": c.second,
				})
				began := time.Now()
				g.allowRetries(func() float64 {
					if time.Since(began) < c.free {
						return 0
					}
					return 20
				})
				var sent time.Time
				g.gateway.Connections.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					if address == "u2" {
						sent = time.Now()
					}
					return g.dial(ctx, address)
				}
				got := g.call(t.Context(), c.path, "{}", nil)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, c.body)
				is.True(got.whole)
				is.True(time.Since(began) <= c.after+50*time.Millisecond)
				synctest.Wait()
				is.Equal(closed.Sub(sent), time.Duration(0)) // the first is given up at the time of the second send
			})
		})
	}
}

// TestLongErrorIsPassedOnUnlessAnotherSendIsCertain guards against answers of 502 in place of an upstream's own error, which is too
// long to hold and was dropped before it was known whether the request could be sent anywhere else.
func TestLongErrorIsPassedOnUnlessAnotherSendIsCertain(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for name, c := range map[string]struct {
		slack  float64
		second script
		status int
		body   string
	}{
		"no retry is granted":           {second: answer(http.StatusOK, "good"), status: http.StatusInternalServerError, body: long},
		"the other refuses connections": {slack: 20, status: http.StatusInternalServerError, body: long},
		"another send is certain":       {slack: 20, second: answer(http.StatusOK, "good"), status: http.StatusOK, body: "good"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": answer(http.StatusInternalServerError, long),
					"u2": c.second,
				})
				g.allowRetries(func() float64 { return c.slack })
				got := g.call(t.Context(), "/safe/x", "{}", nil)
				is.Equal(got.status, c.status)
				is.True(got.whole)
				is.True(got.body == c.body)
			})
		})
	}
}
