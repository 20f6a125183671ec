package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startServer calls handle for each request, with the number of its connection, and counts the requests.
func startServer(
	t *testing.T, handle func(connNumber int, conn net.Conn, request *http.Request),
) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for connNumber := 0; ; connNumber++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					_, _ = io.Copy(io.Discard, request.Body)
					handle(connNumber, conn, request)
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

func newAtMostOnceCall(address, method string) Call {
	return Call{
		RequestID:  "r-1",
		Attempt:    "1",
		Address:    address,
		Method:     method,
		Path:       "/orders",
		Header:     http.Header{"Idempotency-Key": {"cut-1"}},
		Body:       []byte(`{"panels":12}`),
		AtMostOnce: true,
	}
}

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func writeOK(conn net.Conn) {
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
}

// net/http resends a request that it considers idempotent, by its method or an Idempotency-Key header, if a reused
// connection breaks. A call with AtMostOnce must reach the upstream only once, whatever the upstream does.
func TestAtMostOnceIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(connNumber int, conn net.Conn, request *http.Request)
	}{
		{
			name:   "connection reset after the request",
			handle: func(_ int, conn net.Conn, _ *http.Request) { resetConn(conn) },
		},
		{
			name:   "connection closed after the request",
			handle: func(_ int, conn net.Conn, _ *http.Request) { _ = conn.Close() },
		},
		{
			name: "truncated status line",
			handle: func(_ int, conn net.Conn, _ *http.Request) {
				_, _ = conn.Write([]byte("HTTP/1.1 200"))
				_ = conn.Close()
			},
		},
		{
			name: "redirect to the same path",
			handle: func(_ int, conn net.Conn, request *http.Request) {
				_, _ = conn.Write([]byte("HTTP/1.1 308 Permanent Redirect\r\nLocation: " +
					request.URL.Path + "\r\nContent-Length: 0\r\n\r\n"))
			},
		},
	} {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodGet} {
			t.Run(c.name+"/"+method, func(t *testing.T) {
				is := is.New(t)
				address, requests := startServer(t, c.handle)
				client := &Client{}
				client.Init()
				response, err := client.Do(t.Context(), newAtMostOnceCall(address, method))
				if err == nil {
					_ = response.Body.Close()
				}
				var sendErr *SendError
				if errors.As(err, &sendErr) {
					is.True(sendErr.MaybeRan)
				}
				is.Equal(requests.Load(), int64(1))
			})
		}
	}
}

// A call with AtMostOnce must not use the idle connection of an earlier call: when the upstream resets that connection,
// net/http would resend the request.
func TestAtMostOnceIsNotResentOnIdleConn(t *testing.T) {
	is := is.New(t)
	address, requests := startServer(t, func(_ int, conn net.Conn, request *http.Request) {
		if request.Header.Get(HeaderAttempt) == "first" {
			writeOK(conn)
			return
		}
		resetConn(conn)
	})
	client := &Client{}
	client.Init()
	warm := newAtMostOnceCall(address, http.MethodGet)
	warm.Attempt = "first"
	warm.AtMostOnce = false
	response, err := client.Do(t.Context(), warm)
	is.NoErr(err)
	_, _ = io.ReadAll(response.Body)
	_ = response.Body.Close()
	before := requests.Load()
	_, err = client.Do(t.Context(), newAtMostOnceCall(address, http.MethodPost))
	var sendErr *SendError
	is.True(errors.As(err, &sendErr))
	is.True(sendErr.MaybeRan)
	is.Equal(requests.Load()-before, int64(1))
}

// Without AtMostOnce, net/http resends in the same situation; otherwise TestAtMostOnceIsNotResentOnIdleConn could not
// fail.
func TestTransportResendsWithoutAtMostOnce(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	address, _ := startServer(t, func(_ int, conn net.Conn, request *http.Request) {
		if request.Header.Get(HeaderAttempt) == "first" {
			writeOK(conn)
			return
		}
		attempts.Add(1)
		resetConn(conn)
	})
	client := &Client{}
	client.Init()
	warm := newAtMostOnceCall(address, http.MethodGet)
	warm.Attempt = "first"
	warm.AtMostOnce = false
	response, err := client.Do(t.Context(), warm)
	is.NoErr(err)
	_, _ = io.ReadAll(response.Body)
	_ = response.Body.Close()
	time.Sleep(20 * time.Millisecond) // until the connection is back in the idle pool
	resendable := newAtMostOnceCall(address, http.MethodPost)
	resendable.AtMostOnce = false
	_, err = client.Do(t.Context(), resendable)
	is.True(err != nil)
	is.True(attempts.Load() > 1)
}

func TestRefusedConnectionDidNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := &Client{}
	client.Init()
	_, err = client.Do(t.Context(), newAtMostOnceCall(address, http.MethodPost))
	var sendErr *SendError
	is.True(errors.As(err, &sendErr))
	is.True(!sendErr.MaybeRan)
}

func TestCanceledBeforeAnswerMayHaveRun(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer server.Close()
	client := &Client{}
	client.Init()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, newAtMostOnceCall(strings.TrimPrefix(server.URL, "http://"), http.MethodPost))
	var sendErr *SendError
	is.True(errors.As(err, &sendErr))
	is.True(sendErr.MaybeRan)
}

// TestRefusalOnAReusedConnectionMustNameTheRequest guards against a copy of an earlier refusal that is taken for the answer to
// the next call on its connection.
func TestRefusalOnAReusedConnectionMustNameTheRequest(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(_ int, conn net.Conn, request *http.Request) {
		named := ""
		if request.Header.Get(HeaderAttempt) == "named" {
			named = HeaderRequestID + ": " + request.Header.Get(HeaderRequestID) + "\r\n"
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\n"+HeaderNotRun+": 1\r\n"+named+"Content-Length: 0\r\n\r\n")
	})
	client := &Client{}
	client.Init()
	for i, c := range []struct {
		attempt string
		refuses bool
	}{
		{attempt: "unnamed", refuses: true}, // on a new connection
		{attempt: "named", refuses: true},
		{attempt: "unnamed", refuses: false},
	} {
		call := newAtMostOnceCall(address, http.MethodGet)
		call.Attempt, call.AtMostOnce = c.attempt, false
		response, err := client.Do(t.Context(), call)
		is.NoErr(err)
		is.Equal(response.Reused, i > 0)
		is.True(response.Refusal())
		is.Equal(response.Refuses(call.RequestID), c.refuses)
		is.True(!response.Refuses("another"+call.RequestID) || !response.Reused)
		_, _ = io.Copy(io.Discard, response.Body)
		is.NoErr(response.Body.Close())
	}
}

// TestEndlessHeadIsBounded guards against the head of an answer without end, which was kept up to 10 MB for each request.
func TestEndlessHeadIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ head, piece string }{
		"one header":      {head: "HTTP/1.1 200 X\r\nX-A: ", piece: strings.Repeat("x", 1<<10)},
		"many headers":    {head: "HTTP/1.1 200 X\r\nX-A: 1\r\n", piece: strings.Repeat("X-A: 1\r\n", 1<<7)},
		"interim answers": {head: "HTTP/1.1 100 X\r\n\r\n", piece: strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 1<<6)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const mostBytes = 1 << 20 // what the kernel holds included
			taken := make(chan int, 1)
			address, _ := startServer(t, func(_ int, conn net.Conn, _ *http.Request) {
				_ = conn.(*net.TCPConn).SetWriteBuffer(1 << 14)
				sent, err := io.WriteString(conn, c.head)
				for err == nil && sent < 32<<20 {
					var n int
					n, err = io.WriteString(conn, c.piece)
					sent += n
				}
				taken <- sent
			})
			client := Client{}
			client.Init()
			response, err := client.Do(t.Context(), newAtMostOnceCall(address, http.MethodGet))
			if err == nil {
				_ = response.Body.Close()
			}
			var sendErr *SendError
			is.True(errors.As(err, &sendErr))
			is.True(sendErr.MaybeRan)
			is.True(<-taken <= mostBytes)
		})
	}
}
