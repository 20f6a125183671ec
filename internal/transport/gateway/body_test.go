package gateway_test

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/state/route"
	"lagoongw/platform"
)

// echoDigest answers with the length and the digest of the body that it has received.
func echoDigest(conn net.Conn, r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	return answer(200, fmt.Sprintf("%d %x", len(body), sha256.Sum256(body)))(conn, r)
}

// allowBodies lets bodies of a size through.
func (g *testGateway) allowBodies(t *testing.T, size int) {
	t.Helper()
	text := strings.Replace(manifest, `"max_body_bytes": 100`, fmt.Sprintf(`"max_body_bytes": %d`, size), 1)
	table, _, err := platform.ParseManifest([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g.gateway.Routes = func() *route.Table { return table }
}

// sendRaw sends the text of a request and returns the status of the answer and its body, 0 if there is none.
func (g *testGateway) sendRaw(t *testing.T, text string) (status int, body string) {
	t.Helper()
	conn, err := g.dialCaller(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(conn, text) }()
	defer func() { _ = conn.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

// TestBodiesArriveUnchanged sends bodies of sizes around those of the blocks in which they are read, with a length and
// in chunks. All memory is free again afterwards.
func TestBodiesArriveUnchanged(t *testing.T) {
	const limit = 300_000
	random := rand.NewChaCha8([32]byte{1})
	for _, size := range []int{1, 4095, 4096, 4097, 12 << 10, 124 << 10, limit - 1, limit, limit + 1} {
		body := make([]byte, size)
		_, _ = random.Read(body)
		framed := map[string]string{
			"length":     fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
			"one chunk":  "Transfer-Encoding: chunked\r\n\r\n" + chunk(string(body)) + "0\r\n\r\n",
			"two chunks": "Transfer-Encoding: chunked\r\n\r\n" + chunk(string(body[:1+size/3])) + chunk(string(body[1+size/3:])) + "0\r\n\r\n",
		}
		if size == 1 {
			delete(framed, "two chunks") // the second one would be the end
		}
		for name, text := range framed {
			t.Run(fmt.Sprintf("%d in %s", size, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					g := newTestGateway(t, map[string]script{"u1": echoDigest})
					g.allowBodies(t, limit)
					status, got := g.sendRaw(t, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\n"+text)
					synctest.Wait()
					is.Equal(g.gateway.Memory.Held(memory.Requests), int64(0))
					if size > limit {
						is.Equal(status, http.StatusRequestEntityTooLarge)
						is.Equal(len(g.receivedRequests()), 0)
						return
					}
					is.Equal(status, http.StatusOK)
					is.Equal(got, fmt.Sprintf("%d %x", size, sha256.Sum256(body)))
				})
			})
		}
	}
}

// TestBodyThatIsNotSentWholeIsNotForwarded guards against a body that stops: it must not hold memory for longer than
// the request may last, nor be sent on as if it were whole.
func TestBodyThatIsNotSentWholeIsNotForwarded(t *testing.T) {
	for name, text := range map[string]string{
		"length": "Content-Length: 50\r\n\r\nbody",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"chunk":  "Transfer-Encoding: chunked\r\n\r\n32\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				began := time.Now()
				status, _ := g.sendRaw(t, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\n"+text)
				is.Equal(status, http.StatusRequestTimeout)
				is.Equal(time.Since(began), 1500*time.Millisecond) // the route's timeout
				conn, err := g.dialCaller(t.Context(), "", "")
				is.NoErr(err)
				_, _ = io.WriteString(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-2\r\n"+text)
				_ = conn.Close()
				synctest.Wait()
				is.Equal(g.gateway.Memory.Held(memory.Requests), int64(0))
				is.Equal(len(g.receivedRequests()), 0)
			})
		})
	}
}

// TestRefusalsDoNotWaitForTheBody guards against a caller that stops in the middle of its body: an answer that waits for
// the rest, or a connection that stays open after it.
func TestRefusalsDoNotWaitForTheBody(t *testing.T) {
	const timeout, wait = 1500 * time.Millisecond, 100 * time.Millisecond
	for name, c := range map[string]struct {
		path, framing string
		full          bool
		status        int
		after         time.Duration
	}{
		"no route":          {path: "/none", framing: "Content-Length: 50", status: 404, after: wait},
		"no route, chunks":  {path: "/none", framing: "Transfer-Encoding: chunked", status: 404, after: wait},
		"too long":          {path: "/unsafe/x", framing: "Content-Length: 101", status: 413},
		"no memory":         {path: "/unsafe/x", framing: "Content-Length: 50", full: true, status: 503, after: wait},
		"no memory, longer": {path: "/unsafe/x", framing: "Content-Length: 20000", full: true, status: 503},
		"no memory, chunks": {path: "/unsafe/x", framing: "Transfer-Encoding: chunked", full: true, status: 503},
		"time up":           {path: "/unsafe/x", framing: "Content-Length: 50", status: 408, after: timeout},
		"time up, chunks":   {path: "/unsafe/x", framing: "Transfer-Encoding: chunked", status: 408, after: timeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				if c.full {
					is.True(g.gateway.Memory.Reserve(memory.Requests, g.gateway.Memory.Limit(memory.Requests)))
				}
				conn, err := g.dialCaller(t.Context(), "", "")
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(time.Hour))
				began := time.Now()
				go func() {
					_, _ = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\n"+
						c.framing+"\r\n\r\n4\r\nb")
				}()
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, c.status)
				is.True(time.Since(began) <= c.after)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				_, err = reader.ReadByte()
				is.Equal(err, io.EOF)
				is.True(time.Since(began) <= c.after+time.Second)
			})
		})
	}
}

// TestRefusalAfterALongBodyIsWritten guards against an answer that is lost since the HTTP server's own write timeout passed
// while the body was read.
func TestRefusalAfterALongBodyIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
		g.server.WriteTimeout = time.Second
		status, _ := g.sendRaw(t, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\nX-Lagoongw-Attempt-Id: id-1\r\n\r\nbody")
		is.Equal(status, http.StatusRequestTimeout)
	})
}

// TestBodiesThatDoNotComeHoldNoMemory guards against two callers that announce long bodies and send nothing, and so
// keep all others out until the time of their requests is up.
func TestBodiesThatDoNotComeHoldNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 4 << 20
		g := newTestGateway(t, map[string]script{"u1": eventStream(0)})
		g.allowBodies(t, size)
		head := func(size int) string {
			return fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\nContent-Length: %d\r\n\r\n", size)
		}
		began := time.Now()
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() {
				status, _ := g.sendRaw(t, head(size)+"body")
				is.Equal(status, http.StatusRequestTimeout)
				is.Equal(time.Since(began), 2*time.Second)
			})
		}
		synctest.Wait()
		status, _ := g.sendRaw(t, head(size)+strings.Repeat("x", size))
		is.Equal(status, http.StatusOK)
		group.Wait()
		is.Equal(g.gateway.Memory.Held(memory.Requests), int64(0))
	})
}

// TestRequestBeyondTheBudgetIsRefusedUnread fills the budget: requests are refused at once, whether or not their bodies
// have arrived, and one whose body is short can use its connection again.
func TestRequestBeyondTheBudgetIsRefusedUnread(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		keep bool
	}{
		"short body":      {text: "Content-Length: 4\r\n\r\nbody", keep: true},
		"long body":       {text: "Content-Length: 20000\r\n\r\nbody"},
		"body in chunks":  {text: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		"expects a go-on": {text: "Expect: 100-continue\r\nContent-Length: 20000\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				g.allowBodies(t, 1<<20)
				is.True(g.gateway.Memory.Reserve(memory.Requests, g.gateway.Memory.Limit(memory.Requests)))
				conn, err := g.dialCaller(t.Context(), "", "")
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				go func() {
					_, _ = io.WriteString(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\n"+c.text)
				}()
				began := time.Now()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusServiceUnavailable)
				is.True(response.Header.Get("Retry-After") != "")
				is.Equal(response.Close, !c.keep)
				is.Equal(time.Since(began), time.Duration(0))
				is.Equal(len(g.receivedRequests()), 0)
			})
		})
	}
}

// TestAnswersBeyondTheBudgetArePassedOn fills the budget for answers: they are not refused for that, since they have
// run, but passed on as they arrive, and one that breaks off is aborted.
func TestAnswersBeyondTheBudgetArePassedOn(t *testing.T) {
	long := strings.Repeat("long ", 3000)
	for name, c := range map[string]struct {
		raw   string
		whole bool
	}{
		"length": {
			raw:   fmt.Sprintf("HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", answerHeaders, len(long), long),
			whole: true,
		},
		"chunks":    {raw: "HTTP/1.1 200 X\r\n" + chunkedHeaders + chunk(long) + "0\r\n\r\n", whole: true},
		"no length": {raw: "HTTP/1.1 200 X\r\n" + answerHeaders + "\r\n" + long, whole: true},
		"cut length": {
			raw: fmt.Sprintf("HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", answerHeaders, len(long)+1, long),
		},
		"cut chunks": {raw: "HTTP/1.1 200 X\r\n" + chunkedHeaders + chunk(long)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": rawAnswer(c.raw),
					"u2": answer(200, "good"),
				})
				filler := g.gateway.Memory.Limit(memory.Answers) - 6<<10 // leaves room for a first block
				is.True(g.gateway.Memory.Reserve(memory.Answers, filler))
				got := g.call(t.Context(), "/safe/x", "body", nil)
				synctest.Wait()
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.whole, c.whole)
				is.Equal(got.body, long)
				is.Equal(len(g.receivedRequests()), 1)
				is.Equal(g.gateway.Memory.Held(memory.Answers), filler)
			})
		})
	}
}

// TestLongEventsShareTheBudget fills the budget for events: a stream with a long event is then aborted and not sent to
// another upstream, where it would end in the same way. That isn't held against the upstream, which is sent the next
// request too.
func TestLongEventsShareTheBudget(t *testing.T) {
	longEvent := "id: 1\ndata: " + strings.Repeat("x", 40<<10) + "\n\n"
	shortEvent := "id: 0\ndata: 0\n\n"
	for name, c := range map[string]struct {
		full   bool
		before string
		status int
		whole  bool
	}{
		"room":                      {status: http.StatusOK, whole: true},
		"no room":                   {full: true, status: http.StatusBadGateway, whole: true},
		"no room after first event": {full: true, before: shortEvent, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": rawAnswer("HTTP/1.1 200 X\r\n" + chunkedHeaders + chunk(c.before+longEvent) + "0\r\n\r\n"),
					"u2": eventStream(0),
				})
				held := int64(0)
				if c.full {
					held = g.gateway.Memory.Limit(memory.Events)
					is.True(g.gateway.Memory.Reserve(memory.Events, held))
				}
				const calls = 8
				for range calls {
					got := g.call(t.Context(), "/resumable/x", "body", nil)
					synctest.Wait()
					is.Equal(got.status, c.status)
					is.Equal(got.whole, c.whole)
				}
				received := g.receivedRequests()
				is.Equal(len(received), calls)
				for _, request := range received {
					is.True(!c.full || strings.HasPrefix(request, "u1 ")) // u2 may be the faster one
				}
				is.Equal(g.gateway.Memory.Held(memory.Events), held)
			})
		})
	}
}

// TestLongestEventGrowsWithTheMemory guards against events that large VMs have room for and that end their streams.
func TestLongestEventGrowsWithTheMemory(t *testing.T) {
	for limit, longest := range map[int64]int{0: 64 << 10, 512 << 20: 256 << 10, 64 << 30: 1 << 20} {
		for size, status := range map[int]int{longest: http.StatusOK, longest + 16<<10: http.StatusBadGateway} {
			t.Run(fmt.Sprintf("%d of %d", size, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					text := "id: 1\ndata: " + strings.Repeat("x", size-20) + "\n\n"
					g := newTestGateway(t, map[string]script{
						"u1": rawAnswer("HTTP/1.1 200 X\r\n" + chunkedHeaders + chunk(text) + "0\r\n\r\n"),
					})
					g.gateway.Memory = memory.NewBudget(limit)
					is.Equal(g.call(t.Context(), "/stream/x", "body", nil).status, status)
				})
			})
		}
	}
}

// TestCallerThatDoesNotReadIsDisconnected guards against a caller that holds its request's memory for ever.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		respond script
		timeout time.Duration
	}{
		"held answer": {"/unsafe/x", answer(200, strings.Repeat("x", 100<<10)), 1500 * time.Millisecond},
		"long answer": {"/unsafe/x", answer(200, strings.Repeat("x", 1<<20)), 1500 * time.Millisecond},
		"stream":      {"/stream/x", eventStream(0), 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": c.respond})
				conn, err := g.dialCaller(t.Context(), "", "")
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn,
					"POST "+c.path+" HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
				is.NoErr(err)
				time.Sleep(c.timeout)
				is.True(g.gateway.Memory.Held(memory.Requests) > 0)
				time.Sleep(6 * time.Second)
				is.Equal(g.gateway.Memory.Held(memory.Requests), int64(0))
				is.Equal(g.gateway.Memory.Held(memory.Answers), int64(0))
				is.Equal(g.gateway.InFlight(), 0)
			})
		})
	}
}
