package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/state/route"
)

const (
	otherRequestOK      = "HTTP/1.1 200 X\r\nX-Lagoongw-Attempt-Id: another\r\nX-Lagoongw-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
	noRequestID         = "HTTP/1.1 200 X\r\nX-Lagoongw-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
	truncated           = "HTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length: 9\r\n\r\nshort"
	unframed            = "HTTP/1.1 200 X\r\n" + answerHeaders + "\r\nall of it"
	garbage             = "\x00\x01not an answer\r\n\r\n"
	otherRequestError   = "HTTP/1.1 500 X\r\nX-Lagoongw-Attempt-Id: another\r\nContent-Length: 2\r\n\r\nno"
	otherRequestRefusal = "HTTP/1.1 503 X\r\nX-Lagoongw-Attempt-Id: another\r\nX-Lagoongw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// TestUpstreamFaults sends a safe and an unsafe request to a faulty upstream u1. Only a request that has not run, or
// that may run again, is sent to the healthy upstream u2 as well.
func TestUpstreamFaults(t *testing.T) {
	healthy := answer(200, "good")
	type outcome struct {
		status   int
		requests int
	}
	for name, c := range map[string]struct {
		u1     script
		safe   outcome
		unsafe outcome
	}{
		"healthy":                     {u1: healthy, safe: outcome{200, 1}, unsafe: outcome{200, 1}},
		"refuses connections":         {u1: nil, safe: outcome{200, 1}, unsafe: outcome{200, 1}},
		"refuses the request":         {u1: shed, safe: outcome{200, 2}, unsafe: outcome{200, 2}},
		"another upstream's address":  {u1: misdirected, safe: outcome{200, 2}, unsafe: outcome{200, 2}},
		"resets after reading":        {u1: reset, safe: outcome{200, 2}, unsafe: outcome{502, 1}},
		"server error":                {u1: answer(500, "bad"), safe: outcome{200, 2}, unsafe: outcome{500, 1}},
		"caller's error":              {u1: answer(409, "no"), safe: outcome{409, 1}, unsafe: outcome{409, 1}},
		"answer of another request":   {u1: rawAnswer(otherRequestOK), safe: outcome{200, 2}, unsafe: outcome{502, 1}},
		"failure of another request":  {u1: rawAnswer(otherRequestError), safe: outcome{200, 2}, unsafe: outcome{502, 1}},
		"refusal of another request":  {u1: rawAnswer(otherRequestRefusal), safe: outcome{200, 2}, unsafe: outcome{502, 1}},
		"answer without a request ID": {u1: rawAnswer(noRequestID), safe: outcome{200, 2}, unsafe: outcome{502, 1}},
		"answer cut short":            {u1: rawAnswer(truncated), safe: outcome{200, 2}, unsafe: outcome{502, 1}},
		"answer without a length":     {u1: rawAnswer(unframed), safe: outcome{200, 1}, unsafe: outcome{200, 1}},
		"bytes that are not HTTP":     {u1: rawAnswer(garbage), safe: outcome{200, 2}, unsafe: outcome{502, 1}},
		"hangs":                       {u1: hang, safe: outcome{200, 2}, unsafe: outcome{504, 1}},
	} {
		for path, want := range map[string]outcome{"/safe/x?q=1": c.safe, "/unsafe/x": c.unsafe} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					g := newTestGateway(t, map[string]script{
						"u1": c.u1,
						"u2": healthy,
					})
					got := g.call(t.Context(), path, "body", nil)
					is.Equal(got.status, want.status)
					is.True(got.whole)
					is.Equal(len(g.receivedRequests()), want.requests)
					if got.status == http.StatusOK {
						is.Equal(got.header.Get("X-Lagoongw-Response-Stamp"), "s")
					}
					for _, request := range g.receivedRequests() {
						is.True(strings.Contains(request, "POST "+path+" ")) // the target is forwarded unchanged
					}
				})
			})
		}
	}
}

// TestStreamFaults breaks a stream in each way. The caller always receives complete events in order, and an incomplete
// answer is aborted so that it can't be taken for a complete one.
func TestStreamFaults(t *testing.T) {
	healthy := eventStream(0)
	type outcome struct {
		status   int
		events   int
		whole    bool
		requests int
	}
	for name, c := range map[string]struct {
		u1        script
		resumable outcome
		stream    outcome
	}{
		"healthy":              {u1: healthy, resumable: outcome{200, 5, true, 1}, stream: outcome{200, 5, true, 1}},
		"refuses connections":  {u1: nil, resumable: outcome{200, 5, true, 1}, stream: outcome{200, 5, true, 1}},
		"refuses the request":  {u1: shed, resumable: outcome{200, 5, true, 2}, stream: outcome{200, 5, true, 2}},
		"resets before a byte": {u1: reset, resumable: outcome{200, 5, true, 2}, stream: outcome{502, 0, true, 1}},
		"breaks in event 1":    {u1: eventStream(1), resumable: outcome{200, 5, true, 2}, stream: outcome{502, 0, true, 1}},
		"breaks in event 3": {
			u1:        eventStream(3),
			resumable: outcome{200, 5, true, 2},
			stream:    outcome{200, 2, false, 1},
		},
		"stalls after 2":          {u1: stall(2), resumable: outcome{200, 5, true, 2}, stream: outcome{200, 2, false, 1}},
		"drips bytes, no event":   {u1: drip(0), resumable: outcome{200, 5, true, 2}, stream: outcome{504, 0, true, 1}},
		"drips bytes after 2":     {u1: drip(2), resumable: outcome{200, 5, true, 2}, stream: outcome{200, 2, false, 1}},
		"is slow but sound":       {u1: slowStream, resumable: outcome{200, 5, true, 1}, stream: outcome{200, 5, true, 1}},
		"hangs before its header": {u1: hang, resumable: outcome{200, 5, true, 2}, stream: outcome{504, 0, true, 1}},
		"server error": {
			u1:        answer(500, "bad"),
			resumable: outcome{200, 5, true, 2},
			stream:    outcome{500, 0, true, 1},
		},
		"ends inside an event": {
			u1:        rawAnswer("HTTP/1.1 200 X\r\n" + answerHeaders + "\r\nid: 1\ndata: 1\n\nid: 2\nda"),
			resumable: outcome{200, 5, true, 2},
			stream:    outcome{200, 1, false, 1},
		},
		"stream of another request": {
			u1:        rawAnswer(otherRequestOK),
			resumable: outcome{200, 5, true, 2},
			stream:    outcome{502, 0, true, 1},
		},
	} {
		for path, want := range map[string]outcome{"/resumable/x": c.resumable, "/stream/x": c.stream} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					g := newTestGateway(t, map[string]script{
						"u1": c.u1,
						"u2": healthy,
					})
					got := g.call(t.Context(), path, "body", nil)
					is.Equal(got.status, want.status)
					is.Equal(got.whole, want.whole)
					is.Equal(len(g.receivedRequests()), want.requests)
					if want.events > 0 {
						is.Equal(got.body, eventText(want.events))
					}
				})
			})
		}
	}
}

// TestStreamOutlivesAShortSilenceOfItsUpstream guards against a sound upstream that falls silent for a second or so being given up.
func TestStreamOutlivesAShortSilenceOfItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{
			"u1": silentFor(1900*time.Millisecond, 2),
			"u2": eventStream(0),
		})
		got := g.call(t.Context(), "/resumable/x", "body", nil)
		is.True(got.whole)
		is.Equal(got.body, eventText(streamEvents))
		is.Equal(len(g.receivedRequests()), 1)
	})
}

func TestResumedStreamSendsTheLastCompleteEventID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{
			"u1": eventStream(4),
			"u2": eventStream(0),
		})
		g.origins.Began("begun", origin.Origin{
			Pool:    "s",
			Version: defaultVersion,
		})
		got := g.call(t.Context(), "/resumable/x", "body", map[string]string{
			"Resumes":       "begun",
			"Last-Event-Id": "1",
		})
		is.True(got.whole)
		is.Equal(got.body, strings.TrimPrefix(eventText(5), eventText(1)))
		is.Equal(g.receivedRequests(), []string{"u1 POST /resumable/x last=1", "u2 POST /resumable/x last=3"})
	})
}

func TestStatusOfRequestsThatMayNotBeSent(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		body    string
		headers map[string]string
		phase   drain.Phase
		status  int
	}{
		"no route":        {path: "/none/x", status: 404},
		"no key":          {path: "/keyed/x", status: 401},
		"unknown key":     {path: "/keyed/x", headers: map[string]string{"Authorization": "Token k2"}, status: 401},
		"key":             {path: "/keyed/x", headers: map[string]string{"Authorization": "Token k1"}, status: 200},
		"body too long":   {path: "/safe/x", body: strings.Repeat("b", 101), status: 413},
		"header too long": {path: "/safe/x", headers: map[string]string{"X-Long": strings.Repeat("h", 2000)}, status: 431},
		"no ID":           {path: "/safe/x", headers: map[string]string{"X-Lagoongw-Attempt-Id": ""}, status: 400},
		"leaving":         {path: "/safe/x", phase: drain.Leaving, status: 200},
		"refusing":        {path: "/unsafe/x", phase: drain.Refusing, status: 503},
		"zero timeout":    {path: "/safe/x", headers: map[string]string{"X-Lagoongw-Deadline-Ms": "0"}, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				g.phase = c.phase
				got := g.call(t.Context(), c.path, c.body, c.headers)
				is.Equal(got.status, c.status)
				is.Equal(len(g.receivedRequests()) > 0, c.status == http.StatusOK)
				if c.status == http.StatusServiceUnavailable {
					is.True(got.header.Get("Retry-After") != "")
				}
			})
		})
	}
}

// TestRequestsThatNewerRoutesMayAllowAreRefusedForNow guards against a final answer for a route or a key that had been added, from
// a node that knew that another one had newer routes.
func TestRequestsThatNewerRoutesMayAllowAreRefusedForNow(t *testing.T) {
	for path, denied := range map[string]int{
		"/none/x":  http.StatusNotFound,
		"/keyed/x": http.StatusUnauthorized,
	} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				outdated := true
				g.gateway.Outdated = func() bool { return outdated }
				got := g.call(t.Context(), path, "", nil)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(len(g.receivedRequests()), 0)
				is.Equal(g.call(t.Context(), "/safe/x", "", nil).status, http.StatusOK) // what they allow is served
				outdated = false
				is.Equal(g.call(t.Context(), path, "", nil).status, denied)
			})
		})
	}
}

// TestRequestsWaitForTheRoutesOfAStartingNode guards against requests that are refused by a node that knows its routes a moment
// later, as by all nodes after all were lost.
func TestRequestsWaitForTheRoutesOfAStartingNode(t *testing.T) {
	const wait = 300 * time.Millisecond
	for name, c := range map[string]struct {
		known  bool
		status int
	}{
		"routes that come": {known: true, status: http.StatusOK},
		"none that come":   {status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				routes, known := g.gateway.Routes, false
				g.gateway.Routes = func() *route.Table {
					if !known {
						return nil
					}
					return routes()
				}
				g.gateway.AwaitReady = func(context.Context) {
					time.Sleep(wait)
					known = c.known
				}
				start := time.Now()
				is.Equal(g.call(t.Context(), "/safe/x", "", nil).status, c.status)
				is.True(time.Since(start) >= wait)
			})
		})
	}
}

func TestRequestThatNoUpstreamTakesIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{
			"u1": shed,
			"u2": shed,
		})
		began := time.Now()
		got := g.call(t.Context(), "/unsafe/x", "body", nil)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
		is.Equal(time.Since(began), time.Duration(0)) // no wait on the fake clock
	})
}

// TestAnswerTooLongToBuffer sends an answer that is forwarded as it arrives. A truncated one must not look complete to
// the caller, and the request must not be sent again.
func TestAnswerTooLongToBuffer(t *testing.T) {
	long := strings.Repeat("long ", 1<<19)
	for name, c := range map[string]struct {
		raw   string
		whole bool
	}{
		"whole": {
			raw:   fmt.Sprintf("HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", answerHeaders, len(long), long),
			whole: true,
		},
		"cut": {raw: fmt.Sprintf("HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", answerHeaders, len(long)+1, long)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": rawAnswer(c.raw),
					"u2": answer(200, "good"),
				})
				got := g.call(t.Context(), "/safe/x", "body", nil)
				is.Equal(got.whole, c.whole)
				is.Equal(len(g.receivedRequests()), 1)
				is.Equal(got.body, long)
			})
		})
	}
}

// TestLongErrorCountsAgainstTheUpstream sends an error that is too long to buffer: it must count as a failure, so that
// the next request goes to the other upstream.
func TestLongErrorCountsAgainstTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{
			"u1": answer(500, strings.Repeat("long ", 1<<19)),
			"u2": answer(200, "good"),
		})
		is.Equal(g.call(t.Context(), "/unsafe/x", "body", nil).status, 500)
		is.Equal(g.call(t.Context(), "/unsafe/x", "body", nil).status, 200)
	})
}

// TestErrorWithoutRoomIsSentAgain guards against a server error that is passed on for lack of memory, or since it is long,
// while another upstream may still answer the request. If none can be sent it, the caller gets the error.
func TestErrorWithoutRoomIsSentAgain(t *testing.T) {
	failed := answer(500, strings.Repeat("long ", 1<<16))
	for name, c := range map[string]struct {
		path     string
		u2       script
		full     bool
		status   int
		requests int
	}{
		"long":               {path: "/safe/x", u2: answer(200, "good"), status: 200, requests: 2},
		"no room":            {path: "/safe/x", u2: answer(200, "good"), full: true, status: 200, requests: 2},
		"both fail":          {path: "/safe/x", u2: failed, status: 500, requests: 2},
		"other is down":      {path: "/safe/x", status: 500, requests: 1},
		"may not be resent":  {path: "/unsafe/x", u2: answer(200, "good"), status: 500, requests: 1},
		"stream, none began": {path: "/resumable/x", u2: eventStream(0), full: true, status: 200, requests: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": failed,
					"u2": c.u2,
				})
				held := int64(0)
				if c.full {
					held = g.gateway.Memory.Limit(memory.Answers)
					is.True(g.gateway.Memory.Reserve(memory.Answers, held))
				}
				got := g.call(t.Context(), c.path, "body", nil)
				synctest.Wait()
				is.Equal(got.status, c.status)
				is.True(got.whole)
				is.Equal(len(g.receivedRequests()), c.requests)
				is.Equal(g.gateway.Memory.Held(memory.Answers), held)
			})
		})
	}
}

// TestHeadersOfOneConnectionAreNotPassedOn has an upstream name a header that concerns its connection alone.
func TestHeadersOfOneConnectionAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{
			"u1": answerWith(200, "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Other: 2\r\n"),
		})
		got := g.call(t.Context(), "/safe/x", "body", nil)
		is.Equal(got.status, 200)
		is.Equal(got.header.Get("X-Hop"), "")
		is.Equal(got.header.Get("X-Other"), "2")
	})
}

func TestCallerDisconnectClosesUpstreamConnection(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var ended time.Duration
				began := time.Now()
				g := newTestGateway(t, map[string]script{
					"u1": func(conn net.Conn, r *http.Request) bool {
						hang(conn, r)
						ended = time.Since(began)
						return false
					},
					"u2": answer(200, "good"),
				})
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				g.call(ctx, path, "body", nil)
				synctest.Wait()
				is.Equal(ended, 200*time.Millisecond) // the upstream connection is closed at once
				is.Equal(len(g.receivedRequests()), 1)
			})
		})
	}
}
