package connection

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// socket is a TCP connection whose reads return io.EOF only if the other side has ended its bytes. The kernel reports a failure of
// the connection only once; if a write learns of it, a read sees nothing but the end of the bytes.
type socket struct {
	net.Conn // hides those methods of tcp that write past Write
	tcp      *net.TCPConn
	// ended reports that a read has seen the end of the other side's bytes.
	ended atomic.Bool

	// mu is held during a write.
	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// newSocket returns a connection that tells a failure from an end, or the connection itself if it isn't a TCP connection.
func newSocket(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &socket{
		Conn: tcp,
		tcp:  tcp,
	}
}

// SyscallConn returns the raw connection.
func (s *socket) SyscallConn() (syscall.RawConn, error) { return s.tcp.SyscallConn() }

// SetLinger sets what happens to unsent bytes when the connection is closed, as net.TCPConn does.
func (s *socket) SetLinger(seconds int) error { return s.tcp.SetLinger(seconds) }

// Write writes bytes. It fails once a read has seen the end of the other side's bytes.
func (s *socket) Write(p []byte) (int, error) {
	n, err := s.writeBuffers(net.Buffers{p})
	return int(n), err
}

// writeBuffers writes several buffers as Write does, in as few calls as the kernel allows.
func (s *socket) writeBuffers(buffers net.Buffers) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended.Load() {
		return 0, syscall.EPIPE
	}
	n, err := buffers.WriteTo(s.tcp)
	s.writeErr = cmp.Or(s.writeErr, err)
	return n, err
}

// Read reads bytes. It returns the error of a write instead of io.EOF if that means that the connection has failed.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.tcp.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	return n, s.end()
}

// end returns why no more bytes come. It stops a write that is under way, whose error may be the only sign of a failure.
func (s *socket) end() error {
	s.ended.Store(true) // before the deadline, which a later write may put off
	_ = s.tcp.SetWriteDeadline(time.Unix(1, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.writeErr == nil, errors.Is(s.writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(s.writeErr, syscall.EPIPE):
		return io.EOF // the connection was reset after the other side had ended its bytes
	}
	return s.writeErr
}
