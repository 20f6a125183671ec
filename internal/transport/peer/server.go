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

// authenticateTimeout is how long a new connection may stay unauthenticated before it is closed.
const authenticateTimeout = 2 * time.Second

// Handler answers a request of an authenticated peer and decodes its parameters.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers the requests of peers; its exported fields are set before Run.
type Server struct {
	// Secret is the shared secret of all nodes.
	Secret []byte
	// Handlers holds the handlers by the name of their method, without those of the handshake.
	Handlers map[string]Handler
	// IdleTimeout is how long a connection may receive nothing before it is closed.
	IdleTimeout time.Duration
	// Logger logs refused requests.
	Logger zerolog.Logger

	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	sent     atomic.Int64
	received atomic.Int64
}

// ByteCounts returns the number of bytes sent and received so far on the connections that peers opened.
func (s *Server) ByteCounts() (sent, received int64) {
	return s.sent.Load(), s.received.Load()
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

// Close closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rpc := range s.conns {
		_ = rpc.Close()
	}
}

func (s *Server) serve(raw net.Conn) {
	counted := countingConn{
		Conn: idleTimeoutConn{
			Conn:    raw,
			timeout: s.IdleTimeout,
		},
		sent:     &s.sent,
		received: &s.received,
		progress: func() {},
	}
	session := &session{
		server:     s,
		nonce:      newNonce(),
		remoteAddr: raw.RemoteAddr().String(),
	}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(counted, codec{}),
		jsonrpc2.AsyncHandler(session), withoutLibraryLog)
	s.mu.Lock()
	s.conns[rpc] = struct{}{}
	s.mu.Unlock()
	time.AfterFunc(authenticateTimeout, func() {
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

// session is the state of one incoming connection.
type session struct {
	server        *Server
	nonce         string
	remoteAddr    string
	authenticated atomic.Bool
}

// Handle answers one request and ignores notifications.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	result, err := s.answer(ctx, request)
	if err != nil {
		s.server.Logger.Warn().Str("step", request.Method).Str("peer", s.remoteAddr).Err(err).Msg("peer request refused")
		_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInvalidRequest,
			Message: err.Error(),
		})
		return
	}
	_ = rpc.Reply(ctx, request.ID, result)
}

// answer serves the handshake methods to anyone and the handlers only to an authenticated peer.
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

// hello checks the caller's proof, marks the session as authenticated and returns the listener's proof.
func (s *session) hello(params json.RawMessage) (any, error) {
	var hello wire.Hello
	if err := json.Unmarshal(params, &hello); err != nil {
		return nil, err
	}
	if !equalProofs(hello.Proof, computeProof(s.server.Secret, roleCaller, hello.Name, hello.Nonce, s.nonce)) {
		return nil, ErrAuthentication
	}
	s.authenticated.Store(true)
	return wire.HelloAnswer{
		Proof: computeProof(s.server.Secret, roleListener, hello.Name, hello.Nonce, s.nonce),
	}, nil
}

// idleTimeoutConn fails a read that gets no data within the timeout.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read reads from the connection and waits at most the timeout.
func (c idleTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
