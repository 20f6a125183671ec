package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestNoRequestSmugglingByAmbiguousFraming sends requests whose end two HTTP readers could see in different places,
// with another request hidden where one of them would find it. The hidden request must not reach an upstream.
func TestNoRequestSmugglingByAmbiguousFraming(t *testing.T) {
	const (
		line   = "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\n"
		hidden = "POST /unsafe/hidden HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-2\r\nContent-Length: 0\r\n\r\n"
	)
	for name, c := range map[string]struct {
		raw  string
		runs int
	}{
		"length and chunks, hidden in the length": {
			raw:  line + "Content-Length: 120\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
			runs: 1,
		},
		"two lengths": {
			raw:  line + "Content-Length: 0\r\nContent-Length: 120\r\n\r\n" + hidden,
			runs: 0,
		},
		"a list of lengths":    {raw: line + "Content-Length: 0, 120\r\n\r\n" + hidden, runs: 0},
		"a length with a sign": {raw: line + "Content-Length: +0\r\n\r\n" + hidden, runs: 0},
		"unknown coding":       {raw: line + "Transfer-Encoding: xchunked\r\n\r\n" + hidden, runs: 0},
		"two codings": {
			raw:  line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
			runs: 0,
		},
		"space before the colon": {raw: line + "Content-Length : 0\r\n\r\n" + hidden, runs: 0},
		"folded header": {
			raw:  line + "X-A: 1\r\n\tTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + "",
			runs: 1,
		},
		"chunk longer than its size": {
			raw:  line + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + hidden,
			runs: 0,
		},
		"header above the size limit": {raw: line + "X-A: " + strings.Repeat("a", 2<<20) + "\r\n\r\n" + hidden, runs: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				conn, err := g.dialCaller(t.Context(), "", "")
				is.NoErr(err)
				go func() { _, _ = io.WriteString(conn, c.raw) }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					is.True(c.runs > 0 || response.StatusCode >= http.StatusBadRequest)
					is.NoErr(response.Body.Close())
				}
				time.Sleep(time.Second)
				_ = conn.Close()
				synctest.Wait()
				runs := 0
				for _, request := range g.receivedRequests() {
					is.True(!strings.Contains(request, "hidden"))
					if strings.Contains(request, "/safe/x") {
						runs++
					}
				}
				is.Equal(runs, c.runs)
			})
		})
	}
}

// framing is a way to show where the body of an answer ends.
type framing struct {
	// headers are those that announce it.
	headers string
	// frame returns a body in this framing; end is false if the body is cut off.
	frame func(body string, end bool) string
}

// The framings of an answer's body.
var framings = map[string]framing{
	"length": {
		headers: "Content-Length: LENGTH\r\n",
		frame:   func(body string, _ bool) string { return body },
	},
	"chunks": {
		headers: "Transfer-Encoding: chunked\r\n",
		frame: func(body string, end bool) string {
			text := ""
			if body != "" { // an empty chunk would be the end
				text = chunk(body)
			}
			if end {
				text += "0\r\n\r\n"
			}
			return text
		},
	},
	"close": {
		frame: func(body string, _ bool) string { return body },
	},
}

var errReset = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: os.NewSyscallError("read", syscall.ECONNRESET),
}

// resettable is a connection whose other end can reset it: a read then fails with ECONNRESET, after the bytes that
// were sent before.
type resettable struct {
	net.Conn
	reset *atomic.Bool
}

func (r resettable) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if errors.Is(err, io.EOF) && r.reset.Load() {
		return n, errReset
	}
	return n, err
}

// TestWhatCallersSeeOfAnswersThatEndEarly ends an answer of each framing in each way at the first upstream. Callers must
// see the whole answer of one upstream, or one that is aborted, or an error; and a request is sent again only if it may
// run twice or the stream can be resumed.
func TestWhatCallersSeeOfAnswersThatEndEarly(t *testing.T) {
	plain := strings.Repeat("plain", 20)
	long := strings.Repeat("long ", 80<<10) // beyond what is held until it is complete
	stream := eventText(streamEvents)
	const inEvent = 3 // the stream is cut in the middle of this event
	cutStream := eventText(inEvent)[:len(eventText(inEvent))-4]
	type outcome struct {
		status, requests int
		whole            bool
		body             string
	}
	good := outcome{200, 2, true, "good"}
	for name, c := range map[string]struct {
		path  string
		text  string // what is sent of the body
		full  string // the length that is announced is that of this text
		end   bool   // the framing's end is sent
		reset bool   // the connection is reset
		want  map[string]outcome
	}{
		"plain, whole, safe":   {path: "/safe/x", text: plain, full: plain, end: true, want: all(outcome{200, 1, true, plain})},
		"plain, whole, unsafe": {path: "/unsafe/x", text: plain, full: plain, end: true, want: all(outcome{200, 1, true, plain})},
		"plain, cut, safe": {path: "/safe/x", text: plain[:50], full: plain, want: map[string]outcome{
			"length": good, "chunks": good, "close": {200, 1, true, plain[:50]},
		}},
		"plain, cut, unsafe": {path: "/unsafe/x", text: plain[:50], full: plain, want: map[string]outcome{
			"length": {502, 1, true, ""}, "chunks": {502, 1, true, ""}, "close": {200, 1, true, plain[:50]},
		}},
		"plain, reset, safe":   {path: "/safe/x", text: plain[:50], full: plain, reset: true, want: all(good)},
		"plain, reset, unsafe": {path: "/unsafe/x", text: plain[:50], full: plain, reset: true, want: all(outcome{502, 1, true, ""})},
		"long, whole, unsafe":  {path: "/unsafe/x", text: long, full: long, end: true, want: all(outcome{200, 1, true, long})},
		"long, reset, unsafe":  {path: "/unsafe/x", text: long, full: long + "x", reset: true, want: all(outcome{200, 1, false, long})},
		"long, reset, safe":    {path: "/safe/x", text: long, full: long + "x", reset: true, want: all(outcome{200, 1, false, long})},
		"stream, whole":        {path: "/stream/x", text: stream, full: stream, end: true, want: all(outcome{200, 1, true, stream})},
		"stream, whole, may be resumed": {
			path: "/resumable/x", text: stream, full: stream, end: true, want: all(outcome{200, 1, true, stream}),
		},
		"stream, ends inside an event": {
			path: "/stream/x", text: cutStream, full: cutStream, end: true, want: all(outcome{200, 1, false, eventText(inEvent - 1)}),
		},
		"stream, ends inside an event, may be resumed": {
			path: "/resumable/x", text: cutStream, full: cutStream, end: true, want: all(outcome{200, 2, true, stream}),
		},
		"stream, cut inside an event": {
			path: "/stream/x", text: cutStream, full: stream, want: all(outcome{200, 1, false, eventText(inEvent - 1)}),
		},
		"stream, reset inside an event, may be resumed": {
			path: "/resumable/x", text: cutStream, full: stream, reset: true, want: all(outcome{200, 2, true, stream}),
		},
		"stream, reset between events": {
			path: "/stream/x", text: eventText(2), full: stream, reset: true, want: all(outcome{200, 1, false, eventText(2)}),
		},
		"stream, reset between events, may be resumed": {
			path: "/resumable/x", text: eventText(2), full: stream, reset: true, want: all(outcome{200, 2, true, stream}),
		},
		"stream, cut between events": {path: "/stream/x", text: eventText(2), full: stream, want: map[string]outcome{
			"length": {200, 1, false, eventText(2)}, "chunks": {200, 1, false, eventText(2)}, "close": {200, 1, true, eventText(2)},
		}},
		"stream, cut between events, may be resumed": {path: "/resumable/x", text: eventText(2), full: stream, want: map[string]outcome{
			"length": {200, 2, true, stream}, "chunks": {200, 2, true, stream}, "close": {200, 1, true, eventText(2)},
		}},
		"stream, reset before an event": {path: "/stream/x", full: stream, reset: true, want: all(outcome{502, 1, true, ""})},
	} {
		for kind, f := range framings {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					want := c.want[kind]
					var wasReset atomic.Bool
					head := "HTTP/1.1 200 X\r\n" + answerHeaders + strings.Replace(f.headers, "LENGTH", strconv.Itoa(len(c.full)), 1) + "\r\n"
					second := answer(200, "good")
					if strings.HasPrefix(c.path, "/resumable/") {
						second = eventStream(0)
					}
					g := newTestGateway(t, map[string]script{
						"u1": func(conn net.Conn, r *http.Request) bool {
							writeAnswer(conn, r, head)
							writeAnswer(conn, r, f.frame(c.text, c.end))
							wasReset.Store(c.reset)
							return false
						},
						"u2": second,
					})
					g.gateway.Connections.Dial = func(ctx context.Context, address string) (net.Conn, error) {
						conn, err := g.dial(ctx, address)
						if address == "u1" && err == nil {
							conn = resettable{Conn: conn, reset: &wasReset}
						}
						return conn, err
					}
					got := g.call(t.Context(), c.path, "body", nil)
					is.Equal(got.status, want.status)
					is.Equal(got.whole, want.whole)
					is.Equal(len(g.receivedRequests()), want.requests)
					if want.body != "" {
						is.Equal(got.body, want.body)
					}
				})
			})
		}
	}
}

// all expects the same whatever the framing.
func all[T any](want T) map[string]T {
	return map[string]T{
		"length": want,
		"chunks": want,
		"close":  want,
	}
}

// TestRefusalWhoseBodyDoesNotCome guards against a request that waits for the body of a refusal until its deadline.
func TestRefusalWhoseBodyDoesNotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{
			"u1": func(conn net.Conn, r *http.Request) bool {
				writeAnswer(conn, r, "HTTP/1.1 503 X\r\nX-Lagoongw-Not-Executed: 1\r\nContent-Length: 9\r\n\r\n")
				return hang(conn, r)
			},
			"u2": answer(200, "good"),
		})
		began := time.Now()
		is.Equal(g.call(t.Context(), "/unsafe/x", "body", nil).status, http.StatusOK)
		is.Equal(time.Since(began), 100*time.Millisecond)
	})
}

// TestAnswerThatDoesNotEndIsAborted sends an answer until the deadline: its caller must not take it for complete.
func TestAnswerThatDoesNotEndIsAborted(t *testing.T) {
	for name, f := range framings {
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					var taken atomic.Int64
					piece := "x"
					if name == "chunks" {
						piece = chunk(strings.Repeat("x", 1000))
					}
					head := "HTTP/1.1 200 X\r\n" + answerHeaders + strings.Replace(f.headers, "LENGTH", "99999999", 1) + "\r\n"
					g := newTestGateway(t, map[string]script{
						"u1": endless(head, piece, &taken),
						"u2": answer(200, "good"),
					})
					got := g.call(t.Context(), path, "body", nil)
					is.Equal(got.status, http.StatusOK)
					is.True(!got.whole)
					is.Equal(len(g.receivedRequests()), 1)
				})
			})
		}
	}
}

// TestHeadsThatAreCut cuts the header of an answer at each byte: it is never an answer.
func TestHeadsThatAreCut(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length: 0\r\n\r\n"
	for cut := range len(head) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, map[string]script{
				"u1": func(conn net.Conn, _ *http.Request) bool {
					_, _ = io.WriteString(conn, strings.ReplaceAll(head, "ID", "id-1")[:cut])
					return false
				},
				"u2": answer(200, "good"),
			})
			got := g.call(t.Context(), "/unsafe/x", "body", nil)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(len(g.receivedRequests()), 1)
		})
	}
}
