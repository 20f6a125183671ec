package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// lateListener counts the connections that it accepts, on which each write takes a while.
type lateListener struct {
	net.Listener
	delay    time.Duration
	accepted atomic.Int64
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.accepted.Add(1)
	return lateConn{
		Conn:  conn,
		delay: l.delay,
	}, err
}

type lateConn struct {
	net.Conn
	delay time.Duration
}

func (c lateConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// TestConnectGoesOnAfterItsCall guards against nodes that never reach a peer while links are full: the handshake took longer than a
// call may, and each call began a connection of its own.
func TestConnectGoesOnAfterItsCall(t *testing.T) {
	is := is.New(t)
	raw, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &lateListener{
		Listener: raw,
		delay:    100 * time.Millisecond,
	}
	server := &Server{
		Secret:      secret,
		IdleTimeout: time.Minute,
		Logger:      zerolog.Nop(),
		Handlers:    map[string]Handler{echo: echoHandler},
	}
	go func() { _ = server.Run(listener) }()
	t.Cleanup(func() {
		_ = raw.Close()
		server.Close()
	})
	c := newClient(t, secret)
	call := func() error {
		const lessThanTheHandshake = 150 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), lessThanTheHandshake)
		defer cancel()
		return c.Call(ctx, raw.Addr().String(), echo, nil, nil)
	}
	is.True(call() != nil)
	for deadline := time.Now().Add(waitTimeout); call() != nil; {
		is.True(time.Now().Before(deadline))
	}
	is.Equal(listener.accepted.Load(), int64(1))
}

// TestConnectionThatIsOpenedAfterCloseIsClosed guards against a connection that outlives its client.
func TestConnectionThatIsOpenedAfterCloseIsClosed(t *testing.T) {
	is := is.New(t)
	address, server := startServer(t, map[string]Handler{echo: echoHandler})
	c := newClient(t, secret)
	c.Close()
	is.True(c.Call(t.Context(), address, echo, nil, nil) != nil)
	for deadline := time.Now().Add(waitTimeout); server.connectionCount() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
}
