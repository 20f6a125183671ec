package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"lagoongw/internal/protocol/wire"
)

const (
	// authenticateTimeout is how long a new connection may stay unauthenticated before it is closed.
	authenticateTimeout = 2 * time.Second
	// minAcceptPause is the time before the next try after a connection could not be accepted; it doubles with each failure
	// up to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Handler answers a request of an authenticated peer and decodes its parameters.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers the requests of peers; its exported fields are set before Run.
type Server struct {
	// Secret is the shared secret of all nodes.
	Secret []byte
	// Handlers holds the handlers by the name of their method, without those of the handshake.
	Handlers map[string]Handler
	// LaneOf returns the lane of a request; nil stands for none of any request. The kinds must be few.
	LaneOf func(method string, params json.RawMessage) Lane
	// ServeStream, if set, serves the connections that were opened with OpenStream, and closes them. The first bytes are those
	// by which the other side identifies itself.
	ServeStream func(conn net.Conn)
	// IdleTimeout is how long a connection may receive nothing before it is closed.
	IdleTimeout time.Duration
	// Logger logs refused requests.
	Logger zerolog.Logger

	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	sent     atomic.Int64
	received atomic.Int64
	// unidentified counts the connections whose first byte has not come.
	unidentified allowance
	// receiving, inWork and inWorkBytes count what is held for the peers.
	receiving   allowance
	inWork      allowance
	inWorkBytes allowance
	// lanes holds the requests of each kind of LaneOf; mu guards it.
	lanes map[string]*lane
}

// Lane limits the requests of a kind, each of which is in work until its answer was written.
type Lane struct {
	// Kind is the kind of the requests, "" if any number of them may be in work.
	Kind string
	// InWork is the number of requests that are in work at a time, and Waiting that of those that wait; others are refused.
	InWork  int
	Waiting int
}

// lane is the requests of a kind.
type lane struct {
	inWork chan struct{}
	held   allowance
	limit  int
}

// ByteCounts returns the number of bytes sent and received so far on the connections that peers opened.
func (s *Server) ByteCounts() (sent, received int64) {
	return s.sent.Load(), s.received.Load()
}

// Run accepts connections until the listener is closed.
func (s *Server) Run(listener net.Listener) error {
	s.mu.Lock()
	s.conns = map[*jsonrpc2.Conn]struct{}{}
	s.lanes = map[string]*lane{}
	s.mu.Unlock()
	pause := minAcceptPause
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Logger.Error().Err(err).Str("step", "accept peer connection").Dur("pause", pause).
				Msg("peer connection not accepted; will retry")
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if s.connectionCount() >= MaxConnections || !s.unidentified.take(1, maxUnidentified) {
			_ = raw.Close()
			continue
		}
		go s.identify(raw)
	}
}

// identify serves a connection by its first byte.
func (s *Server) identify(raw net.Conn) {
	defer s.unidentified.put(1)
	var first [1]byte
	_ = raw.SetReadDeadline(time.Now().Add(authenticateTimeout))
	_, err := io.ReadFull(raw, first[:])
	_ = raw.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		_ = raw.Close()
	case first[0] != streamMark:
		s.serve(&begunConn{
			Conn:  raw,
			begun: first[:],
		})
	case s.ServeStream == nil:
		_ = raw.Close()
	default:
		go s.ServeStream(raw)
	}
}

// begunConn is a connection of which the first bytes have been read.
type begunConn struct {
	net.Conn
	begun []byte
}

// Read reads from the connection, beginning with its first bytes.
func (c *begunConn) Read(p []byte) (int, error) {
	if len(c.begun) > 0 {
		n := copy(p, c.begun)
		c.begun = c.begun[n:]
		return n, nil
	}
	return c.Conn.Read(p)
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
			Conn:    writeTimeoutConn{Conn: raw},
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
		inWork:     make(chan struct{}, maxInWorkPerConnection),
	}
	frames := codec{
		maxRead:   session.maxRead,
		receiving: &s.receiving,
	}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(counted, frames), session,
		withoutLibraryLog)
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

func (s *Server) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// lane returns the lane of a request, or nil if any number of its kind may be in work.
func (s *Server) lane(method string, params json.RawMessage) *lane {
	if s.LaneOf == nil {
		return nil
	}
	l := s.LaneOf(method, params)
	if l.Kind == "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lanes[l.Kind] == nil {
		s.lanes[l.Kind] = &lane{
			inWork: make(chan struct{}, l.InWork),
			limit:  l.InWork + l.Waiting,
		}
	}
	return s.lanes[l.Kind]
}

// session is the state of one incoming connection.
type session struct {
	server        *Server
	nonce         string
	remoteAddr    string
	authenticated atomic.Bool
	// inWork holds an element for each request of this connection that is in work.
	inWork chan struct{}
}

func (s *session) maxRead() int {
	if s.authenticated.Load() {
		return MaxRequestBytes
	}
	return maxHandshakeBytes
}

// Handle answers one request and ignores notifications. It waits while too many requests of the connection are in work,
// so that no more are read from it.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	s.inWork <- struct{}{}
	go func() {
		defer func() { <-s.inWork }()
		if err := s.work(ctx, rpc, request); err != nil {
			s.server.Logger.Warn().Str("step", request.Method).Str("peer", s.remoteAddr).Err(err).
				Msg("peer request refused")
			_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{
				Code:    jsonrpc2.CodeInvalidRequest,
				Message: err.Error(),
			})
		}
	}()
}

// work answers one request, unless the node holds too many already.
func (s *session) work(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) error {
	params := json.RawMessage("null")
	if request.Params != nil {
		params = *request.Params
	}
	if !s.server.inWork.take(1, maxInWork) {
		return ErrBusy
	}
	defer s.server.inWork.put(1)
	size := len(params)
	if !s.server.inWorkBytes.take(size, MaxInWorkBytes) {
		return ErrBusy
	}
	defer s.server.inWorkBytes.put(size)
	if lane := s.server.lane(request.Method, params); lane != nil {
		if !lane.held.take(1, lane.limit) {
			return ErrBusy
		}
		defer lane.held.put(1)
		select {
		case lane.inWork <- struct{}{}:
		case <-rpc.DisconnectNotify():
			return nil
		}
		defer func() { <-lane.inWork }()
		if ctx.Err() != nil { // the peer has gone while the request waited
			return nil
		}
	}
	result, err := s.answer(ctx, request.Method, params)
	if err != nil {
		return err
	}
	if err := rpc.Reply(ctx, request.ID, result); errors.Is(err, ErrInvalidFrame) {
		return err
	}
	return nil // the peer has gone, or accepts nothing
}

// answer serves the handshake methods to anyone and the handlers only to an authenticated peer.
func (s *session) answer(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case MethodChallenge:
		return wire.Challenge{Nonce: s.nonce}, nil
	case MethodHello:
		return s.hello(params)
	}
	handler, ok := s.server.Handlers[method]
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
