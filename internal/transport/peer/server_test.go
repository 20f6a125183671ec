package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"lagoongw/internal/protocol/wire"
)

var secret = []byte("secret of the tests")

const echo = "echo"

func serve(t *testing.T, handlers map[string]Handler) (address string, server *Server) {
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Run(listener)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
		server.Close()
	})
	return listener.Addr().String(), server
}

func echoHandler(_ context.Context, params json.RawMessage) (any, error) {
	return params, nil
}

func client(t *testing.T, key []byte) *Client {
	c := &Client{
		Name:   "entry-1",
		Secret: key,
	}
	t.Cleanup(c.Close)
	return c
}

func TestCallsAreAnsweredAndConnectionsKept(t *testing.T) {
	is := is.New(t)
	address, server := serve(t, map[string]Handler{echo: echoHandler})
	c := client(t, secret)
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

func TestWithoutTheSecretNothingIsAnswered(t *testing.T) {
	is := is.New(t)
	var called atomic.Int64
	address, _ := serve(t, map[string]Handler{echo: func(context.Context, json.RawMessage) (any, error) {
		called.Add(1)
		return nil, nil
	}})
	c := client(t, []byte("another secret, of a thief"))
	is.True(c.Call(t.Context(), address, echo, nil, nil) != nil)
	raw, err := net.Dial("tcp", address)
	is.NoErr(err)
	rpc := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(raw, codec{}), refuseAll{})
	defer func() { _ = rpc.Close() }()
	is.True(rpc.Call(t.Context(), echo, nil, nil) != nil) // no hello at all
	is.Equal(called.Load(), int64(0))
}

// One side's proof is of no use as the other's, nor on another connection.
func TestProofsAreBoundToSideNameAndConnection(t *testing.T) {
	is := is.New(t)
	own := proof(secret, sideCaller, "entry-1", "a", "b")
	is.True(sameProof(own, proof(secret, sideCaller, "entry-1", "a", "b")))
	for _, other := range []string{
		proof(secret, sideListener, "entry-1", "a", "b"),
		proof(secret, sideCaller, "entry-2", "a", "b"),
		proof(secret, sideCaller, "entry-1", "c", "b"),
		proof(secret, sideCaller, "entry-1", "a", "c"),
		proof([]byte("another secret, of a thief"), sideCaller, "entry-1", "a", "b"),
	} {
		is.True(!sameProof(own, other))
	}
}

func TestListenerWithoutTheSecretIsNotTrusted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	thief := &Server{
		Secret:      []byte("another secret, of a thief"),
		IdleTimeout: time.Minute,
		Handlers:    map[string]Handler{echo: echoHandler},
		Logger:      zerolog.Nop(),
	}
	go func() { _ = thief.Run(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	is.True(client(t, secret).Call(t.Context(), listener.Addr().String(), echo, nil, nil) != nil)
}

// A peer that takes connections and never answers costs one bounded call; the next call opens a new connection.
func TestSilentPeerIsLeftForANewConnection(t *testing.T) {
	is := is.New(t)
	var hang atomic.Bool
	address, _ := serve(t, map[string]Handler{echo: func(ctx context.Context, params json.RawMessage) (any, error) {
		if hang.Load() {
			time.Sleep(300 * time.Millisecond)
		}
		return echoHandler(ctx, params)
	}})
	c := client(t, secret)
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	before := c.conns[address].rpc
	hang.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(c.Call(ctx, address, echo, nil, nil) != nil)
	hang.Store(false)
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	is.True(c.conns[address].rpc != before)
}

func TestGarbageEndsTheConnectionAlone(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, map[string]Handler{echo: echoHandler})
	raw, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = raw.Close() }()
	_, err = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	is.NoErr(err)
	is.NoErr(raw.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err = raw.Read(make([]byte, 1))
	is.True(err != nil) // closed by the listener
	is.NoErr(client(t, secret).Call(t.Context(), address, echo, nil, nil))
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, map[string]Handler{echo: echoHandler})
	c := client(t, secret)
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	c.CloseIdle(time.Now())
	is.Equal(len(c.conns), 1)
	c.CloseIdle(time.Now().Add(2 * maxIdle))
	is.Equal(len(c.conns), 0)
}
