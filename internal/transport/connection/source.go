package connection

import (
	"bytes"
	"context"
	"net"
	"sync"

	"lagoongw/internal/protocol/response"
)

// MaxHeadBytes limits the header of a response, together with the interim responses before it.
const MaxHeadBytes = 16 << 10

// source reads responses from a connection, and fails at the first byte that is not sound HTTP/1.1.
type source struct {
	net.Conn

	mu      sync.Mutex
	checker response.Checker
}

func newSource(conn net.Conn) *source {
	return &source{
		Conn:    conn,
		checker: response.Checker{MaxHeadBytes: MaxHeadBytes},
	}
}

// begin tells that the response to a request with a method comes next.
func (s *source) begin(method string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.Begin(method)
}

// Read reads bytes up to the first one that is not sound, and returns an error in its place.
func (s *source) Read(p []byte) (int, error) {
	if err := s.fault(); err != nil {
		return 0, err
	}
	n, err := s.Conn.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, fault := s.checker.Check(p[:n]); fault != nil {
		return n, fault
	}
	return n, err
}

// fault returns why a byte that was read is not sound, nil if all are.
func (s *source) fault() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checker.Fault()
}

// checkedConn is a source whose responses begin by themselves: a write after the end of one is taken for the next request.
type checkedConn struct {
	*source
}

// Write writes a request or a part of one.
func (c checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.checker.Done() {
		method, _, _ := bytes.Cut(p, []byte(" "))
		c.checker.Begin(string(method))
	}
	c.mu.Unlock()
	return c.source.Write(p)
}

// CheckResponses returns a dial function for an http.Transport, whose connections fail on responses that are not sound HTTP/1.1. They
// also report each failure of a TCP connection, which a plain one may report as the end of its bytes.
func CheckResponses(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return checkedConn{source: newSource(newSocket(conn))}, nil
	}
}
