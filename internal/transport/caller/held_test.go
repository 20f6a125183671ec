package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/rule"
)

// newHeldServer returns a server that may hold 1 MiB, and a team's job.
func newHeldServer(t *testing.T) (*Server, *job) {
	t.Helper()
	file, err := rule.Parse("team=mill token-sha256=" + rule.HashToken("t") + " # tests\n")
	if err != nil {
		t.Fatal(err)
	}
	j := newTestJob(t, "orders", "yes")
	j.team, _ = file.Team("mill")
	return &Server{
		Members:      func() []wire.Member { return nil },
		MaxHeldBytes: 1 << 20,
	}, j
}

// TestBodiesBeyondTheMemoryAreRefused guards against holding the bodies of any number of callers: each may send 4 MiB, and
// they are read before the request is admitted.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	s, first := newHeldServer(t)
	read := func(j *job) *errorAnswer {
		r := httptest.NewRequest(http.MethodPost, "/services/orders/x", bytes.NewReader(make([]byte, 600<<10)))
		return s.readBody(httptest.NewRecorder(), r, j)
	}
	is.Equal(read(first), nil)
	second := *first
	second.held = 0
	refused := read(&second)
	is.True(refused != nil)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.outcome, outcome.NotRun)
	is.True(refused.retryAfter > 0)
	is.Equal(s.held.total.Load(), int64(600<<10))
	s.dropTo(first, 0)
	is.Equal(read(&second), nil)
	s.dropTo(&second, 0)
	is.Equal(s.held.total.Load(), int64(0))
}

// TestLongAnswersAreNotCutOff guards against passing on the first 32 MiB of a longer answer as if that were all of it, and
// against holding answers beyond the memory for them.
func TestLongAnswersAreNotCutOff(t *testing.T) {
	for name, test := range map[string]struct {
		size, held int64
		tooLong    bool
	}{
		"whole":             {size: maxAnswerBytes},
		"too long":          {size: maxAnswerBytes + 1, tooLong: true},
		"no memory for it":  {size: 1 << 20, held: 2*maxAnswerBytes - 1<<19, tooLong: true},
		"memory for it all": {size: 1 << 20, held: 2*maxAnswerBytes - 1<<20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, j := newHeldServer(t)
			s.MaxHeldBytes = 2 * maxAnswerBytes
			is.True(s.hold(j, test.held))
			body, err := s.readAnswer(j, bytes.NewReader(make([]byte, test.size)))
			is.Equal(errors.Is(err, errAnswerTooLong), test.tooLong)
			if test.tooLong {
				is.Equal(s.held.total.Load(), test.held) // what was read is no longer held
				result, e := sendErrorAnswer(err, true)
				is.Equal(result, outcome.Unknown)
				is.Equal(e.status, http.StatusBadGateway)
				return
			}
			is.NoErr(err)
			is.Equal(int64(len(body)), test.size)
			is.Equal(s.held.total.Load(), test.held+test.size)
		})
	}
}

// TestCallersThatDoNotReadAreCutOff guards against holding an answer and its permit for as long as a caller keeps its
// connection open without reading; a slow caller that reads is not cut off.
func TestCallersThatDoNotReadAreCutOff(t *testing.T) {
	for name, test := range map[string]struct {
		reads bool
	}{
		"caller reads nothing": {},
		"slow caller":          {reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, _ := newHeldServer(t)
				s.CallerStallTimeout = 10 * time.Second
				written := make(chan struct{})
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					s.writeBody(w, make([]byte, 1<<20))
					close(written)
				})}
				client, conn := net.Pipe()
				defer func() { _ = client.Close() }()
				listener := &oneConnListener{conn: conn}
				go func() { _ = server.Serve(listener) }()
				_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
				received := 0
				for buffer := make([]byte, 32<<10); test.reads; {
					n, err := io.ReadFull(client, buffer)
					received += n
					if err != nil {
						break
					}
					time.Sleep(4 * time.Second)
				}
				began := time.Now()
				<-written
				is.True(time.Since(began) <= s.CallerStallTimeout)
				is.Equal(received > 1<<20, test.reads)
			})
		})
	}
}

// TestBodiesThatStopAreRefused guards against holding part of a body, which others' requests are refused for, for
// as long as its caller keeps the connection open. Slow callers, and slow answers after the body, are not cut off.
func TestBodiesThatStopAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		pause  time.Duration
		status int
	}{
		"stops":                     {pause: time.Hour, status: http.StatusRequestTimeout},
		"a byte in eight seconds":   {pause: 8 * time.Second},
		"a byte in twelve seconds":  {pause: 12 * time.Second, status: http.StatusRequestTimeout},
		"whole body, answered late": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, j := newHeldServer(t)
				s.CallerStallTimeout = 10 * time.Second
				result := make(chan *errorAnswer, 1)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					e := s.readBody(w, r, j)
					time.Sleep(time.Minute)
					is.True(e != nil || r.Context().Err() == nil) // the caller has not left
					result <- e
				})}
				client, conn := net.Pipe()
				defer time.Sleep(5 * test.pause) // lets the caller end
				defer func() { _ = client.Close() }()
				go func() { _ = server.Serve(&oneConnListener{conn: conn}) }()
				go func() { _, _ = io.Copy(io.Discard, client) }()
				go func() {
					_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
					for range 4 {
						_, _ = io.WriteString(client, "x")
						time.Sleep(test.pause)
					}
				}()
				e := <-result
				if test.status == 0 {
					is.Equal(e, nil)
					is.Equal(j.held, int64(4))
					return
				}
				is.True(e != nil)
				is.Equal(e.status, test.status)
				is.Equal(e.outcome, outcome.NotRun)
				is.Equal(j.held, int64(0))
			})
		})
	}
}

// oneConnListener accepts one connection.
type oneConnListener struct {
	conn net.Conn
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}

func (*oneConnListener) Close() error   { return nil }
func (*oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestCallerThatPausesIsNotCutOffLikeASilentUpstream guards against answers that broke off because a caller, or this node on
// a busy machine, paused for longer than upstreams may be silent.
func TestCallerThatPausesIsNotCutOffLikeASilentUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const events, eventBytes = 10, 16 << 10
		s, _ := newHeldServer(t)
		s.StreamIdleTimeout, s.CallerStallTimeout = 400*time.Millisecond, 10*time.Second
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			out := newStreamWriter(w, "id-1", s.CallerStallTimeout)
			for range events {
				is.NoErr(out.writeEvent(make([]byte, eventBytes)))
			}
			out.finish(outcome.Completed, "")
		})}
		client, conn := net.Pipe()
		defer func() { _ = client.Close() }()
		go func() { _ = server.Serve(&oneConnListener{conn: conn}) }()
		_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		received := 0
		for buffer := make([]byte, eventBytes); err == nil; {
			time.Sleep(4 * time.Second)
			var n int
			n, err = io.ReadFull(response.Body, buffer)
			received += n
		}
		is.True(received > events*eventBytes)
		is.Equal(response.Trailer.Get(HeaderOutcome), string(outcome.Completed))
	})
}
