package connection

import (
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
