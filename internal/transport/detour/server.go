package detour

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/reach"
	"lagoongw/internal/transport/connection"
)

const (
	// MaxConnections is the largest number of connections that a node opens to upstreams for others at once; each holds
	// two buffers of maxFrameBytes.
	MaxConnections = 128
	// maxControls is the number of other upstreams that are tried before this node takes its own path for broken.
	maxControls = 2
	// ticketLifetime is how long the node that asked for a connection has to take it.
	ticketLifetime = time.Second
	// maxSilence is how long a connection may carry no bytes, and stallTimeout how long a side may accept none.
	maxSilence   = 5 * time.Minute
	stallTimeout = 15 * time.Second
)

// Ticket identifies a connection that was opened for another node.
type Ticket [16]byte

// Server opens connections to upstreams for other nodes; its exported fields must be set before it is used.
type Server struct {
	// Dial connects to an upstream directly.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listed reports whether an address is that of a listed upstream that may be sent requests.
	Listed func(address string) bool
	// Controls returns the addresses of other upstreams than that at an address, in any order; one that can be connected to
	// shows that this node's own path is not at fault.
	Controls func(address string) []string
	// OpenedLately reports whether this node has connected directly to an upstream of late, so that no other one need be tried.
	OpenedLately func() bool
	// Broken reports whether the path of this node to an address is known to be broken.
	Broken func(address string) bool
	// Draining reports whether this node is about to stop.
	Draining func() bool
	// Logger receives the log lines.
	Logger zerolog.Logger

	mu      sync.Mutex
	waiting map[Ticket]net.Conn
	open    atomic.Int64
}

// Open connects to an upstream for another node, which takes the connection with the ticket.
func (s *Server) Open(ctx context.Context, address string) (ticket Ticket, opinion reach.Opinion) {
	if s.Draining() || !s.Listed(address) || s.Broken(address) {
		return ticket, reach.None
	}
	if s.open.Add(1) > MaxConnections {
		s.open.Add(-1)
		return ticket, reach.None
	}
	conn, err := s.Dial(ctx, address)
	if err != nil {
		s.open.Add(-1)
		return ticket, s.judge(ctx, address)
	}
	_, _ = rand.Read(ticket[:]) // it never fails
	s.mu.Lock()
	if s.waiting == nil {
		s.waiting = map[Ticket]net.Conn{}
	}
	s.waiting[ticket] = conn
	s.mu.Unlock()
	time.AfterFunc(ticketLifetime, func() {
		if unused := s.take(ticket); unused != nil {
			_ = unused.Close()
			s.open.Add(-1)
		}
	})
	return ticket, reach.Reached
}

// judge returns the opinion on an upstream that this node could not connect to.
func (s *Server) judge(ctx context.Context, address string) reach.Opinion {
	if s.OpenedLately() {
		return reach.Unreached
	}
	controls := s.Controls(address)
	for _, control := range controls[:min(len(controls), maxControls)] {
		if conn, err := s.Dial(ctx, control); err == nil {
			_ = conn.Close()
			return reach.Unreached
		}
	}
	return reach.Doubtful
}

func (s *Server) take(ticket Ticket) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.waiting[ticket]
	delete(s.waiting, ticket)
	return conn
}

// Connections returns the number of connections that are open for other nodes.
func (s *Server) Connections() int { return int(s.open.Load()) }

// Serve carries the bytes between another node, which sends the ticket first, and the upstream, until either ends. It closes
// the connection.
func (s *Server) Serve(node net.Conn) {
	var ticket Ticket
	_ = node.SetReadDeadline(time.Now().Add(ticketLifetime))
	_, err := io.ReadFull(node, ticket[:])
	upstream := s.take(ticket)
	if err != nil || upstream == nil {
		connection.Reset(node)
		return
	}
	defer s.open.Add(-1)
	_ = node.SetReadDeadline(time.Time{})
	s.carry(node, upstream)
}

// carry copies both ways. If the upstream ends the connection, so does this side, cleanly; every other end is a reset, so that
// it can't be taken for the end of an answer.
func (s *Server) carry(node, upstream net.Conn) {
	defer func() { _ = upstream.Close() }()
	go func() {
		if _, err := io.CopyBuffer(watched{Conn: upstream}, watched{Conn: node}, make([]byte, maxFrameBytes)); err != nil {
			connection.Reset(upstream) // the node has given up the request
			return
		}
		_ = upstream.Close() // the node has closed its side
	}()
	if err := copyFrames(watched{Conn: node}, watched{Conn: upstream}); err != nil {
		if !errors.Is(err, net.ErrClosed) {
			s.Logger.Debug().Err(err).Str("step", "detour").Msg("connection for another node broke off")
		}
		connection.Reset(node)
		return
	}
	_ = node.Close()
}

// watched is a connection on which reads and writes fail after a time without progress.
type watched struct {
	net.Conn
}

// Read reads bytes, and waits for them for maxSilence.
func (w watched) Read(p []byte) (int, error) {
	_ = w.SetReadDeadline(time.Now().Add(maxSilence))
	return w.Conn.Read(p)
}

// Write writes bytes; the other side must accept them within stallTimeout.
func (w watched) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(stallTimeout))
	return w.Conn.Write(p)
}
