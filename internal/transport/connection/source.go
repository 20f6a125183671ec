package connection

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"sync"

	"lagoongw/internal/protocol/response"
)

// MaxHeadBytes limits the header of a response, together with the interim responses before it.
const MaxHeadBytes = 16 << 10

// source reads responses from a connection, and fails at the first byte that is not sound HTTP/1.1. It belongs to one goroutine at a
// time.
type source struct {
	net.Conn
	checker response.Checker
}

func newSource(conn net.Conn) *source {
	return &source{
		Conn:    conn,
		checker: response.Checker{MaxHeadBytes: MaxHeadBytes},
	}
}

// Read reads bytes up to the first one that is not sound, and returns an error in its place.
func (s *source) Read(p []byte) (int, error) {
	if fault := s.checker.Fault(); fault != nil {
		return 0, fault
	}
	n, err := s.Conn.Read(p)
	return s.check(p[:n], err)
}

// check returns how many of the bytes that a read has brought are sound, and the error of the read unless there is a fault.
func (s *source) check(data []byte, err error) (int, error) {
	n, fault := s.checker.Check(data)
	return n, cmp.Or(fault, err)
}

// checkedConn is a source that may be written to meanwhile. Its responses begin by themselves: a write after the end of one is taken
// for the next request.
type checkedConn struct {
	*source
	// mu guards the checker.
	mu sync.Mutex
}

// Read reads bytes as source does.
func (c *checkedConn) Read(p []byte) (int, error) {
	if fault := c.fault(); fault != nil {
		return 0, fault
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.check(p[:n], err)
}

func (c *checkedConn) fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.Fault()
}

// Write writes a request or a part of one.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.checker.Done() {
		method, _, _ := bytes.Cut(p, []byte(" "))
		c.checker.Begin(string(method))
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CheckResponses returns a dial function for an http.Transport, whose connections fail on responses that are not sound HTTP/1.1, and on
// heads longer than MaxHeadBytes. They also report each failure of a TCP connection, which a plain one may report as the end of its
// bytes.
func CheckResponses(
	dial func(ctx context.Context, network, address string) (net.Conn, error),
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{source: newSource(newSocket(conn))}, nil
	}
}
