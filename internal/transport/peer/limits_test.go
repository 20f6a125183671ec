package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"lagoongw/internal/transport/schedule"
)

// TestRequestsInWorkAreLimited guards against a goroutine and an answer held for each of the requests that one peer sends
// before the first is answered.
func TestRequestsInWorkAreLimited(t *testing.T) {
	is := is.New(t)
	const calls = 200
	release := make(chan struct{})
	var inWork atomic.Int64
	address, _ := startServer(t, map[string]Handler{echo: func(context.Context, json.RawMessage) (any, error) {
		inWork.Add(1)
		<-release
		return nil, nil
	}})
	c := newClient(t, secret)
	is.NoErr(c.Call(t.Context(), address, MethodChallenge, nil, nil)) // connects
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { _ = c.Call(t.Context(), address, echo, nil, nil) })
	}
	seen := int64(-1)
	for ; seen != inWork.Load(); time.Sleep(200 * time.Millisecond) {
		seen = inWork.Load()
	}
	close(release)
	group.Wait()
	is.True(seen <= 8)
}

// TestDownloadTakesAsLongAsBytesArrive guards against fetches of a large topic that gave up on a slow link after a fixed
// time and closed the connection that all other calls to the peer use.
func TestDownloadTakesAsLongAsBytesArrive(t *testing.T) {
	is := is.New(t)
	const silence = 500 * time.Millisecond
	hang := make(chan struct{})
	defer close(hang)
	address, _ := startServer(t, map[string]Handler{
		echo: echoHandler,
		"hang": func(context.Context, json.RawMessage) (any, error) {
			<-hang
			return nil, nil
		},
	})
	slow := startSlowLink(t, address, 12, silence/10)
	c := newClient(t, secret)
	is.NoErr(c.Call(t.Context(), slow, echo, nil, nil))
	shared := c.conns[slow].rpc
	noise := make([]byte, 100)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
	var got []byte
	is.NoErr(c.Download(t.Context(), slow, echo, noise, &got, silence)) // some 15 pieces, longer than the silence
	is.Equal(got, noise)
	is.True(c.Download(t.Context(), slow, "hang", nil, nil, silence) != nil)
	is.True(c.conns[slow].rpc == shared)
	is.NoErr(c.Call(t.Context(), slow, echo, nil, nil))
}

// startSlowLink relays connections to an address, and what comes back in pieces with a pause before each.
func startSlowLink(t *testing.T, address string, pieceBytes int, pause time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(far, near)
				_ = far.Close()
			}()
			go func() {
				defer func() { _ = near.Close() }()
				for piece := make([]byte, pieceBytes); ; time.Sleep(pause) {
					n, err := far.Read(piece)
					if err != nil {
						return
					}
					_, _ = near.Write(piece[:n])
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestOneLargeAnswerIsHeldAtATime guards against a copy of a whole topic for each peer that asks for it: one request is in
// work, a few wait, and the others are refused at once on a connection that stays open. A request of another kind, such as
// a small topic, doesn't wait for them.
func TestOneLargeAnswerIsHeldAtATime(t *testing.T) {
	is := is.New(t)
	const held = 3
	release := make(chan struct{})
	var inWork, most atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &Server{
		Secret:      secret,
		IdleTimeout: time.Minute,
		LaneOf: func(method string, params json.RawMessage) Lane {
			if method != "topic" {
				return Lane{}
			}
			return Lane{
				Kind:    method + string(params),
				InWork:  1,
				Waiting: held - 1,
			}
		},
		Logger: zerolog.Nop(),
		Handlers: map[string]Handler{"topic": func(_ context.Context, params json.RawMessage) (any, error) {
			if string(params) == `"another"` {
				return "all", nil
			}
			most.Store(max(most.Load(), inWork.Add(1)))
			defer inWork.Add(-1)
			<-release
			return "all", nil
		}},
	}
	go func() { _ = server.Run(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	c := newClient(t, secret)
	errs := make(chan error, 30)
	for range cap(errs) {
		go func() { errs <- c.Download(t.Context(), listener.Addr().String(), "topic", nil, nil, waitTimeout) }()
	}
	for range cap(errs) - held {
		var refused *jsonrpc2.Error
		is.True(errors.As(<-errs, &refused))
		is.Equal(refused.Message, ErrBusy.Error())
	}
	is.NoErr(c.Download(t.Context(), listener.Addr().String(), "topic", "another", nil, waitTimeout))
	close(release)
	for range held {
		is.NoErr(<-errs)
	}
	is.Equal(most.Load(), int64(1))
}

// waitTimeout bounds waits for events that take milliseconds.
const waitTimeout = 20 * time.Second

// TestPeerThatReadsNothingIsDisconnected guards against calls that hold their messages for as long as a peer keeps a
// connection open without reading from it: the deadline of a call doesn't end a write.
func TestPeerThatReadsNothingIsDisconnected(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	written, err := writeTimeoutConn{Conn: near}.Write(make([]byte, 2*writeChunkBytes))
	is.Equal(written, 0)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	_, err = far.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// TestFramesAndConnectionsAreLimited guards against memory that anyone who connects can claim.
func TestFramesAndConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	address, server := startServer(t, map[string]Handler{echo: echoHandler})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		return conn
	}
	stranger := dial()
	_, err := stranger.Write(binary.BigEndian.AppendUint32(nil, maxHandshakeBytes+1))
	is.NoErr(err)
	_, err = stranger.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed without waiting for the frame

	c := newClient(t, secret)
	large := strings.Repeat("x", MaxRequestBytes)
	is.True(c.Call(t.Context(), address, echo, large, nil) != nil)
	is.NoErr(c.Call(t.Context(), address, echo, large[100:], nil))

	server.mu.Lock()
	for len(server.conns) < MaxConnections {
		server.conns[&jsonrpc2.Conn{}] = struct{}{}
	}
	server.mu.Unlock()
	_, err = dial().Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	server.mu.Lock()
	clear(server.conns)
	server.mu.Unlock()
	is.NoErr(c.Call(t.Context(), address, echo, "still connected", nil))
}

// TestServerAcceptsAgainAfterTooManyConnectionsAtOnce guards against a node that refuses all of its peers for good once more of them
// than it admits have connected at the same moment, as after a loss of power: 300 nodes ask the same few seeds.
func TestServerAcceptsAgainAfterTooManyConnectionsAtOnce(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, map[string]Handler{echo: echoHandler})
	var conns []net.Conn
	for range 2 * maxUnidentified {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		conns = append(conns, conn)
	}
	refused := conns[len(conns)-1]
	is.NoErr(refused.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := refused.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	for _, conn := range conns {
		is.NoErr(conn.Close())
	}
	c := newClient(t, secret)
	accepts := func() bool { return c.Call(t.Context(), address, echo, nil, nil) == nil }
	is.True(schedule.Await(t.Context(), waitTimeout, 10*time.Millisecond, accepts))
}

func TestAllowanceTakesUpToItsLimit(t *testing.T) {
	is := is.New(t)
	var a allowance
	is.True(a.take(60, 100))
	is.True(!a.take(41, 100))
	is.True(a.take(40, 100)) // what was refused isn't held
	a.put(60)
	is.True(a.take(60, 100))
}

// TestSlowAnswerKeepsTheConnection guards against probes that were lost with the connection when an unrelated answer was
// slow: the peer goes on to answer other calls.
func TestSlowAnswerKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	defer close(hang)
	address, _ := startServer(t, map[string]Handler{
		echo: echoHandler,
		"hang": func(context.Context, json.RawMessage) (any, error) {
			<-hang
			return nil, nil
		},
	})
	c := newClient(t, secret)
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	shared := c.conns[address].rpc
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Call(ctx, address, "hang", nil, nil) }()
	for range 20 { // some of them after the slow call was sent
		is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	is.True(c.conns[address].rpc == shared)
}

// TestConnectionsAreOpenedWithControl guards against connections to peers whose unread bytes nothing bounds.
func TestConnectionsAreOpenedWithControl(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, map[string]Handler{echo: echoHandler})
	c := newClient(t, secret)
	var controlled atomic.Int64
	c.Control = func(string, string, syscall.RawConn) error {
		controlled.Add(1)
		return nil
	}
	is.NoErr(c.Call(t.Context(), address, echo, nil, nil))
	is.NoErr(c.Download(t.Context(), address, echo, nil, nil, waitTimeout))
	is.Equal(controlled.Load(), int64(2))
}
