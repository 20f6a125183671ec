package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"lagoongw/internal/protocol/wire"
)

const authenticateWithin = 2 * time.Second

// Handler answers an authenticated peer's request; it decodes the parameters itself.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers peers; its exported fields are set before Run.
type Server struct {
	// Secret is shared by all nodes.
	Secret []byte
	// Handlers answers each method.
	Handlers map[string]Handler
	// IdleTimeout ends a connection on which nothing came for that long.
	IdleTimeout time.Duration
	// Logger takes refusals.
	Logger zerolog.Logger

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
	sent  atomic.Int64
	got   atomic.Int64
}

// ByteCounts returns the bytes sent and received so far on the connections that peers opened.
func (s *Server) ByteCounts() (sent, received int64) {
	return s.sent.Load(), s.got.Load()
}

// Run accepts connections until the listener is closed.
func (s *Server) Run(listener net.Listener) error {
	s.mu.Lock()
	s.conns = map[*jsonrpc2.Conn]struct{}{}
	s.mu.Unlock()
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s.serve(raw)
	}
}

// Close ends every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rpc := range s.conns {
		_ = rpc.Close()
	}
}

func (s *Server) serve(raw net.Conn) {
	counted := countingConn{
		Conn: idleConn{
			Conn:    raw,
			timeout: s.IdleTimeout,
		},
		sent: &s.sent,
		got:  &s.got,
	}
	session := &session{
		server: s,
		nonce:  newNonce(),
		remote: raw.RemoteAddr().String(),
	}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(counted, codec{}), jsonrpc2.AsyncHandler(session))
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	s.mu.Unlock()
	time.AfterFunc(authenticateWithin, func() {
		if !session.authenticated.Load() {
			_ = rpc.Close()
		}
	})
	go func() {
		<-rpc.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	}()
}

// session is one incoming connection.
type session struct {
	server        *Server
	nonce         string
	remote        string
	authenticated atomic.Bool
}

// Handle answers one request.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	result, err := s.answer(ctx, request)
	if err != nil {
		s.server.Logger.Warn().Str("step", request.Method).Str("peer", s.remote).Err(err).Msg("peer request refused")
		_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInvalidRequest,
			Message: err.Error(),
		})
		return
	}
	_ = rpc.Reply(ctx, request.ID, result)
}

func (s *session) answer(ctx context.Context, request *jsonrpc2.Request) (any, error) {
	params := json.RawMessage("null")
	if request.Params != nil {
		params = *request.Params
	}
	switch request.Method {
	case MethodChallenge:
		return wire.Challenge{Nonce: s.nonce}, nil
	case MethodHello:
		return s.hello(params)
	}
	handler, ok := s.server.Handlers[request.Method]
	switch {
	case !s.authenticated.Load():
		return nil, ErrAuthentication
	case !ok:
		return nil, errors.New("unknown method")
	}
	return handler(ctx, params)
}

func (s *session) hello(params json.RawMessage) (any, error) {
	var hello wire.Hello
	if err := json.Unmarshal(params, &hello); err != nil {
		return nil, err
	}
	if !sameProof(hello.Proof, proof(s.server.Secret, sideCaller, hello.Name, hello.Nonce, s.nonce)) {
		return nil, ErrAuthentication
	}
	s.authenticated.Store(true)
	return wire.HelloAnswer{
		Proof: proof(s.server.Secret, sideListener, hello.Name, hello.Nonce, s.nonce),
	}, nil
}

// idleConn ends a connection on which nothing can be read for a while.
type idleConn struct {
	net.Conn
	timeout time.Duration
}

// Read waits at most the idle timeout.
func (c idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
