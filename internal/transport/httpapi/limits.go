package httpapi

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Timeouts are the limits on the time that a client may take; zero means no limit.
type Timeouts struct {
	// Header is the longest time from the first byte of a request to the end of its headers.
	Header time.Duration
	// Idle is the longest time before the first byte of the next request.
	Idle time.Duration
}

// LimitClients makes a server enforce timeouts that may change while it runs, in place of its ReadHeaderTimeout and
// IdleTimeout; its ReadTimeout must be unset, and its ConnState is still called. The server must serve on the listener
// that is returned.
func LimitClients(server *http.Server, listener net.Listener, current func() Timeouts) net.Listener {
	onState := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if onState != nil {
			onState(conn, state)
		}
		limited, ok := conn.(*limitedConn)
		switch {
		case !ok:
		case state == http.StateActive:
			limited.enter(readingBody)
		case state == http.StateIdle:
			limited.enter(awaitingRequest)
		}
	}
	return &limitedListener{
		Listener: listener,
		current:  current,
	}
}

// limitedListener wraps the connections that it accepts.
type limitedListener struct {
	net.Listener
	current func() Timeouts
}

// Accept returns the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited := &limitedConn{
		Conn:    conn,
		current: l.current,
	}
	limited.enter(awaitingRequest)
	return limited, nil
}

// readPhase is what the server reads from a connection.
type readPhase int

const (
	awaitingRequest readPhase = iota
	readingHeader
	readingBody
)

// limitedConn sets its own read deadlines until the headers of a request have been read. After that, the deadlines that
// the server sets take effect.
type limitedConn struct {
	net.Conn
	current func() Timeouts

	mu    sync.Mutex
	phase readPhase
	// since is when the phase began.
	since time.Time
}

// enter begins a phase and sets its deadline.
func (c *limitedConn) enter(phase readPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phase
	c.since = time.Now()
	_ = c.Conn.SetReadDeadline(c.deadline())
}

// deadline returns when the phase has to end by the timeouts in force, or the zero time for never.
func (c *limitedConn) deadline() time.Time {
	limit := time.Duration(0)
	switch c.phase {
	case awaitingRequest:
		limit = c.current().Idle
	case readingHeader:
		limit = c.current().Header
	case readingBody:
	}
	if limit <= 0 {
		return time.Time{}
	}
	return c.since.Add(limit)
}

// SetReadDeadline sets the deadline of reads after the headers of a request, and does nothing before.
func (c *limitedConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != readingBody {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads from the connection until the timeout in force has passed, also if it was raised in the meantime.
func (c *limitedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.beginHeader()
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return n, err
		}
	}
}

// SetLinger sets what happens to unsent bytes when the connection is closed, as net.TCPConn does. Other connections have no
// such choice.
func (c *limitedConn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// beginHeader ends the wait for a request.
func (c *limitedConn) beginHeader() {
	c.mu.Lock()
	waiting := c.phase == awaitingRequest
	c.mu.Unlock()
	if waiting {
		c.enter(readingHeader)
	}
}

// extend renews a deadline that has passed, and reports whether the timeouts in force allow more time.
func (c *limitedConn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == readingBody {
		return false
	}
	deadline := c.deadline()
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return false
	}
	_ = c.Conn.SetReadDeadline(deadline)
	return true
}
