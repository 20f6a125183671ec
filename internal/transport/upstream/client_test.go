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

// scripted accepts connections and hands each one, with its number, to a script.
func scripted(t *testing.T, script func(number int, conn net.Conn, head *http.Request)) (address string, heads *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	heads = &atomic.Int64{}
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					head, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					heads.Add(1)
					_, _ = io.Copy(io.Discard, head.Body)
					script(number, conn, head)
				}
			}()
		}
	}()
	return listener.Addr().String(), heads
}

func onceCall(address, method string) Call {
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

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func answerOK(conn net.Conn) {
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
}

// net/http resends what it takes for idempotent, by method or by an Idempotency-Key header, on a reused connection.
func TestOnceReachesTheUpstreamOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(number int, conn net.Conn, head *http.Request)
	}{
		{
			name:   "connection reset after the head",
			script: func(_ int, conn net.Conn, _ *http.Request) { reset(conn) },
		},
		{
			name:   "connection closed after the head",
			script: func(_ int, conn net.Conn, _ *http.Request) { _ = conn.Close() },
		},
		{
			name: "answer cut in its head",
			script: func(_ int, conn net.Conn, _ *http.Request) {
				_, _ = conn.Write([]byte("HTTP/1.1 200"))
				_ = conn.Close()
			},
		},
		{
			name: "redirect to the same place",
			script: func(_ int, conn net.Conn, head *http.Request) {
				_, _ = conn.Write([]byte("HTTP/1.1 308 Permanent Redirect\r\nLocation: " + head.URL.Path + "\r\nContent-Length: 0\r\n\r\n"))
			},
		},
	} {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodGet} {
			t.Run(c.name+"/"+method, func(t *testing.T) {
				is := is.New(t)
				address, heads := scripted(t, c.script)
				client := &Client{}
				client.Init()
				response, err := client.Do(t.Context(), onceCall(address, method))
				if err == nil {
					_ = response.Body.Close()
				}
				var failure *SendError
				if errors.As(err, &failure) {
					is.True(failure.MaybeRan)
				}
				is.Equal(heads.Load(), int64(1))
			})
		}
	}
}

// An upstream that closes each connection after its first answer makes net/http resend on a kept connection.
func TestOnceIsNotResentAfterAnIdleClose(t *testing.T) {
	is := is.New(t)
	address, heads := scripted(t, func(_ int, conn net.Conn, head *http.Request) {
		if head.Header.Get(HeaderAttempt) == "first" {
			answerOK(conn)
			return
		}
		reset(conn)
	})
	client := &Client{}
	client.Init()
	warm := onceCall(address, http.MethodGet)
	warm.Attempt = "first"
	warm.AtMostOnce = false
	response, err := client.Do(t.Context(), warm)
	is.NoErr(err)
	_, _ = io.ReadAll(response.Body)
	_ = response.Body.Close()
	before := heads.Load()
	_, err = client.Do(t.Context(), onceCall(address, http.MethodPost))
	var failure *SendError
	is.True(errors.As(err, &failure))
	is.True(failure.MaybeRan)
	is.Equal(heads.Load()-before, int64(1))
}

// The check above has teeth: without AtMostOnce the library does resend behind our back.
func TestWithoutOnceTheLibraryResends(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	address, _ := scripted(t, func(_ int, conn net.Conn, head *http.Request) {
		if head.Header.Get(HeaderAttempt) == "first" {
			answerOK(conn)
			return
		}
		attempts.Add(1)
		reset(conn)
	})
	client := &Client{}
	client.Init()
	warm := onceCall(address, http.MethodGet)
	warm.Attempt = "first"
	warm.AtMostOnce = false
	response, err := client.Do(t.Context(), warm)
	is.NoErr(err)
	_, _ = io.ReadAll(response.Body)
	_ = response.Body.Close()
	time.Sleep(20 * time.Millisecond) // the connection goes back to the idle pool
	kept := onceCall(address, http.MethodPost)
	kept.AtMostOnce = false
	_, err = client.Do(t.Context(), kept)
	is.True(err != nil)
	is.True(attempts.Load() > 1)
}

func TestNothingReachedTheUpstream(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	client := &Client{}
	client.Init()
	_, err = client.Do(t.Context(), onceCall(address, http.MethodPost))
	var failure *SendError
	is.True(errors.As(err, &failure))
	is.True(!failure.MaybeRan)
}

func TestCancelledBeforeTheAnswerMayHaveRun(t *testing.T) {
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
	_, err := client.Do(ctx, onceCall(strings.TrimPrefix(server.URL, "http://"), http.MethodPost))
	var failure *SendError
	is.True(errors.As(err, &failure))
	is.True(failure.MaybeRan)
}
