package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// countRequestsToU1 returns how many of the received requests went to u1.
func countRequestsToU1(g *testGateway) int {
	count := 0
	for _, request := range g.receivedRequests() {
		if strings.HasPrefix(request, "u1 ") {
			count++
		}
	}
	return count
}

// answerWith returns a script that sends an answer with extra headers, or a stream if the status is 200 on a stream.
func answerWith(status int, headers string) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r, fmt.Sprintf("HTTP/1.1 %d X\r\n%s%sContent-Length: 4\r\n\r\ngood", status, answerHeaders, headers))
		return true
	}
}

// TestUpstreamThatSaysThatItIsLeavingGetsNothingNew has u1, the nearest upstream, announce in an answer that it is
// leaving.
func TestUpstreamThatSaysThatItIsLeavingGetsNothingNew(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\n"
	const otherRequest = "X-Lagoongw-Attempt-Id: another\r\n"
	brokenStream := func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+leaving+
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk("id: 1\ndata: 1\n\n"))
		return false
	}
	for name, c := range map[string]struct {
		path  string
		u1    script
		stays bool
	}{
		"in a success":      {path: "/unsafe/x", u1: answerWith(200, leaving)},
		"in a failure":      {path: "/unsafe/x", u1: answerWith(500, leaving)},
		"in a refusal":      {path: "/unsafe/x", u1: answerWith(503, "X-Lagoongw-Not-Executed: 1\r\n"+leaving)},
		"repeated":          {path: "/unsafe/x", u1: answerWith(200, leaving+leaving)},
		"at a stream":       {path: "/resumable/x", u1: brokenStream},
		"in a 421 of u1":    {path: "/unsafe/x", u1: answerWith(421, "X-Lagoongw-Instance-Id: u1\r\n"+leaving)},
		"0":                 {path: "/unsafe/x", u1: answerWith(200, "Server-Leaving: 0\r\n"), stays: true},
		"garbled":           {path: "/unsafe/x", u1: answerWith(200, "Server-Leaving: \x7f1\r\n"), stays: true},
		"no value":          {path: "/unsafe/x", u1: answerWith(200, "Server-Leaving:\r\n"), stays: true},
		"in another answer": {path: "/unsafe/x", u1: rawAnswer("HTTP/1.1 200 X\r\n" + otherRequest + leaving + "Content-Length: 0\r\n\r\n"), stays: true},
		"in a trailer": {path: "/unsafe/x", u1: rawAnswer("HTTP/1.1 200 X\r\n" + answerHeaders +
			"Trailer: Server-Leaving\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n" + leaving + "\r\n"), stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": c.u1,
					"u2": answer(200, "good"),
				})
				g.call(t.Context(), c.path, "body", nil)
				is.Equal(countRequestsToU1(g), 1)
				time.Sleep(10 * time.Second) // whatever u1 did otherwise is forgotten
				g.call(t.Context(), "/unsafe/x", "body", nil)
				is.Equal(countRequestsToU1(g) > 1, c.stays)
			})
		})
	}
}

// TestUpstreamThatAsksToBeLeftAloneGetsNothingMeanwhile has u1 refuse a request with status 503 and a Retry-After.
func TestUpstreamThatAsksToBeLeftAloneGetsNothingMeanwhile(t *testing.T) {
	for name, c := range map[string]struct {
		status     int
		retryAfter string
		// quiet is how long u1 must be sent nothing.
		quiet time.Duration
	}{
		"seconds":            {status: 503, retryAfter: "5", quiet: 5 * time.Second},
		"fractions":          {status: 503, retryAfter: "1.75", quiet: 1750 * time.Millisecond},
		"longer than a day":  {status: 503, retryAfter: "1e12", quiet: 30 * time.Second},
		"infinite":           {status: 503, retryAfter: "Inf", quiet: 30 * time.Second},
		"negative":           {status: 503, retryAfter: "-4"},
		"not a number":       {status: 503, retryAfter: "NaN"},
		"a date":             {status: 503, retryAfter: "Fri, 31 Dec 2027 23:59:59 GMT"},
		"the status is not":  {status: 500, retryAfter: "5"},
		"the longest counts": {status: 503, retryAfter: "2\r\nRetry-After: 4", quiet: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				u1 := answerWith(c.status, "X-Lagoongw-Not-Executed: 1\r\nRetry-After: "+c.retryAfter+"\r\n")
				g := newTestGateway(t, map[string]script{
					"u1": u1,
					"u2": answer(200, "good"),
				})
				began := time.Now()
				g.call(t.Context(), "/unsafe/x", "body", nil)
				for time.Since(began) < c.quiet-10*time.Millisecond {
					is.Equal(countRequestsToU1(g), 1)
					is.Equal(g.call(t.Context(), "/unsafe/x", "body", nil).status, 200)
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(10 * time.Second) // the refusal itself is forgotten too
				g.call(t.Context(), "/unsafe/x", "body", nil)
				is.True(countRequestsToU1(g) > 1)
			})
		})
	}
}

// TestPoolThatAsksToBeLeftAloneRefusesWithTheEarliestTime checks that the caller learns at once when the first upstream
// accepts requests again, and that nothing is sent before.
func TestPoolThatAsksToBeLeftAloneRefusesWithTheEarliestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{
			"u1": answerWith(503, "X-Lagoongw-Not-Executed: 1\r\nRetry-After: 7\r\n"),
			"u2": answerWith(503, "X-Lagoongw-Not-Executed: 1\r\nRetry-After: 3\r\n"),
		})
		is.Equal(g.call(t.Context(), "/unsafe/x", "body", nil).status, 503)
		time.Sleep(time.Second)
		began := time.Now()
		got := g.call(t.Context(), "/unsafe/x", "body", nil)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Retry-After"), "2.000")
		is.Equal(len(g.receivedRequests()), 2)
	})
}

// TestErrorIsDeliveredIfNoBetterAnswerComes has u1 answer with an error of its own, after which u2 does not help: the
// caller is sent the error that is there, not one of the gateway's.
func TestErrorIsDeliveredIfNoBetterAnswerComes(t *testing.T) {
	for name, u2 := range map[string]script{
		"u2 refuses":             shed,
		"u2 refuses connections": nil,
		"u2 resets":              reset,
		"u2's answer is cut":     rawAnswer(truncated),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": answer(500, "bad"),
					"u2": u2,
				})
				got := g.call(t.Context(), "/safe/x", "body", nil)
				is.Equal(got.status, 500)
				is.Equal(got.body, "bad")
				is.Equal(got.header.Get("X-Lagoongw-Response-Stamp"), "s")
			})
		})
	}
}
