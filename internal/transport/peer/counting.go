package peer

import (
	"net"
	"sync/atomic"
)

// countingConn adds the bytes read and written on a connection to shared counters.
type countingConn struct {
	net.Conn
	sent     *atomic.Int64
	received *atomic.Int64
	// progress is called each time that bytes are received.
	progress func()
}

// Read reads from the connection and counts the bytes received.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if n > 0 {
		c.progress()
	}
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
