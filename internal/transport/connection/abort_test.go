package connection

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// halfClosing accepts one connection, sends a text after the first bytes that come, and returns how the other side then ends the
// connection: nil if it only says that it will send no more.
func halfClosing(t *testing.T, text string) (address string, ended chan error) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ended = make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(conn, text)
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	return listener.Addr().String(), ended
}

// TestUpstreamSeesThatARequestWasGivenUp guards against requests that run on at an upstream after they were sent elsewhere: an
// upstream that takes the end of a connection's bytes for that of a request goes on, and learns the rest only when it writes.
func TestUpstreamSeesThatARequestWasGivenUp(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
	for name, c := range map[string]struct {
		text   string
		giveUp func(ctx context.Context, c *Conn)
	}{
		"the caller leaves": {giveUp: func(ctx context.Context, c *Conn) {
			ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, _, _ = c.Send(ctx, Request{Method: "GET", Target: "/", Host: "h"})
		}},
		"no head in time": {giveUp: func(ctx context.Context, c *Conn) {
			_, _, _ = c.Send(ctx, Request{Method: "GET", Target: "/", Host: "h", HeaderDeadline: time.Now().Add(50 * time.Millisecond)})
		}},
		"within the answer": {text: begun, giveUp: func(ctx context.Context, c *Conn) {
			response, _, err := c.Send(ctx, Request{Method: "GET", Target: "/", Host: "h"})
			if err == nil {
				_, _ = io.ReadFull(response.Body, make([]byte, 2))
				response.Discard()
			}
		}},
		"the caller leaves within the answer": {text: begun, giveUp: func(ctx context.Context, c *Conn) {
			ctx, cancel := context.WithCancel(ctx)
			response, _, err := c.Send(ctx, Request{Method: "GET", Target: "/", Host: "h"})
			if err == nil {
				_, _ = io.ReadFull(response.Body, make([]byte, 2))
			}
			cancel()
		}},
		"silent, another one is ready": {giveUp: func(ctx context.Context, c *Conn) {
			time.AfterFunc(50*time.Millisecond, c.Abort)
			_, _, _ = c.Send(ctx, Request{Method: "GET", Target: "/", Host: "h"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, ended := halfClosing(t, c.text)
			conn, err := NewPool().Get(t.Context(), address, "id")
			is.NoErr(err)
			c.giveUp(t.Context(), conn)
			select {
			case err := <-ended:
				is.True(errors.Is(err, syscall.ECONNRESET))
			case <-time.After(20 * time.Second):
				t.Fatal("the upstream's connection stays open")
			}
		})
	}
}
