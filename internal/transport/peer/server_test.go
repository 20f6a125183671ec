package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"lagoongw/internal/protocol/wire"
)

var secret = []byte("secret of the tests")

const echo = "echo"

func startServer(t *testing.T, handlers map[string]Handler) (address string, server *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = &Server{
		Secret:      secret,
		IdleTimeout: time.Minute,
		Handlers:    handlers,
		Logger:      zerolog.Nop(),
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = server.Run(listener)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-stopped
		server.Close()
	})
	return listener.Addr().String(), server
}

func echoHandler(_ context.Context, params json.RawMessage) (any, error) {
	return params, nil
}

func newClient(t *testing.T, clientSecret []byte) *Client {
	c := &Client{
		Name:        "entry-1",
		Secret:      clientSecret,
		DialTimeout: waitTimeout,
	}
	t.Cleanup(c.Close)
	return c
}

func TestCallsReuseOneConnection(t *testing.T) {
	is := is.New(t)
	address, server := startServer(t, map[string]Handler{echo: echoHandler})
	c := newClient(t, secret)
	for range 3 {
		var got wire.Challenge
		is.NoErr(c.Call(t.Context(), address, echo, wire.Challenge{Nonce: "n"}, &got))
		is.Equal(got.Nonce, "n")
	}
	sent, received := c.ByteCounts()
	is.True(sent > 0 && received > 0)
	server.mu.Lock()
	defer server.mu.Unlock()
	is.Equal(len(server.conns), 1)
}

func TestServerRejectsClientWithoutSecret(t *testing.T) {
	is := is.New(t)
	var called atomic.Int64
	address, _ := startServer(t, map[string]Handler{echo: func(context.Context, json.RawMessage) (any, error) {
		called.Add(1)
		return nil, nil
	}})
	c := newClient(t, []byte("another secret"))
	is.True(c.Call(t.Context(), address, echo, nil, nil) != nil)
	raw, err := net.Dial("tcp", address)
	is.NoErr(err)
	rpc := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(raw, newTestCodec()), methodNotFoundHandler{})
	defer func() { _ = rpc.Close() }()
	is.True(rpc.Call(t.Context(), echo, nil, nil) != nil) // no handshake at all
	is.Equal(called.Load(), int64(0))
}

// A proof must not be valid for the other role, another name, another connection or another secret.
func TestProofIsBoundToRoleNameAndNonces(t *testing.T) {
	is := is.New(t)
	want := computeProof(secret, roleCaller, "entry-1", "a", "b")
	is.True(equalProofs(want, computeProof(secret, roleCaller, "entry-1", "a", "b")))
	for _, other := range []string{
		computeProof(secret, roleListener, "entry-1", "a", "b"),
		computeProof(secret, roleCaller, "entry-2", "a", "b"),
		computeProof(secret, roleCaller, "entry-1", "c", "b"),
		computeProof(secret, roleCaller, "entry-1", "a", "c"),
		computeProof([]byte("another secret"), roleCaller, "entry-1", "a", "b"),
	} {
		is.True(!equalProofs(want, other))
	}
}

func TestClientRejectsServerWithoutSecret(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	impostor := &Server{
		Secret:      []byte("another secret"),
		IdleTimeout: time.Minute,
		Handlers:    map[string]Handler{echo: echoHandler},
		Logger:      zerolog.Nop(),
	}
	go func() { _ = impostor.Run(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	is.True(newClient(t, secret).Call(t.Context(), listener.Addr().String(), echo, nil, nil) != nil)
}

// A call to a peer that accepts connections but doesn't answer in time must end at its deadline, and the next call must
// open a new connection instead of waiting on the old one.
func TestTimedOutCallReplacesConnection(t *testing.T) {
	is := is.New(t)
	var slow atomic.Bool
	address, _ := startServer(t, map[string]Handler{echo: func(ctx context.Context, params json.RawMessage) (any, error) {
		if slow.Load() {
			time.Sleep(300 * time.Millisecond)
		}
		return echoHandler(ctx, params)
	}})
	c := newClient(t, secret)
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	firstConn := c.conns[address].rpc
	slow.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(c.Call(ctx, address, echo, nil, nil) != nil)
	slow.Store(false)
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	is.True(c.conns[address].rpc != firstConn)
}

func TestGarbageClosesOnlyItsOwnConnection(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, map[string]Handler{echo: echoHandler})
	raw, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = raw.Close() }()
	_, err = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	is.NoErr(raw.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err = raw.Read(make([]byte, 1))
	is.True(err != nil) // closed by the listener
	is.NoErr(newClient(t, secret).Call(t.Context(), address, echo, nil, nil))
}

func TestCloseIdleClosesUnusedConnections(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, map[string]Handler{echo: echoHandler})
	c := newClient(t, secret)
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	c.CloseIdle(time.Now())
	is.Equal(len(c.conns), 1)
	c.CloseIdle(time.Now().Add(2 * maxIdleTime))
	is.Equal(len(c.conns), 0)
}

// TestErrorOfOneMethodKeepsTheConnection has a peer answer one call with an error while another call is in flight on the
// same connection: that one must still be answered.
func TestErrorOfOneMethodKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, _ := startServer(t, map[string]Handler{
		"fail": func(context.Context, json.RawMessage) (any, error) { return nil, errors.New("not yet") },
		"wait": func(context.Context, json.RawMessage) (any, error) {
			<-release
			return "done", nil
		},
		echo: echoHandler,
	})
	client := newClient(t, secret)
	var text string
	is.NoErr(client.Call(t.Context(), address, echo, "first", &text))
	waited := make(chan error)
	go func() {
		var answer string
		waited <- client.Call(t.Context(), address, "wait", nil, &answer)
	}()
	is.True(client.Call(t.Context(), address, "fail", nil, &text) != nil)
	close(release)
	is.NoErr(<-waited)
}

// failingListener fails the first calls of Accept as a process without free file descriptors does.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{
			Op:  "accept",
			Err: syscall.EMFILE,
		}
	}
	return l.Listener.Accept()
}

// TestFailedAcceptDoesNotEndTheServer guards against a node that no peer reached any more after one connection could not
// be accepted.
func TestFailedAcceptDoesNotEndTheServer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &Server{
		Secret:      secret,
		IdleTimeout: time.Minute,
		Handlers:    map[string]Handler{echo: echoHandler},
		Logger:      zerolog.Nop(),
	}
	stopped := make(chan error, 1)
	go func() {
		stopped <- server.Run(&failingListener{
			Listener: listener,
			failures: 3,
		})
	}()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	is.NoErr(newClient(t, secret).Call(ctx, listener.Addr().String(), echo, nil, nil))
	is.NoErr(listener.Close())
	is.NoErr(<-stopped)
	server.Close()
}
