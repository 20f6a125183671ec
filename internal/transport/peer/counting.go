package peer

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
	got  *atomic.Int64
}

// Read counts what came in.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.got.Add(int64(n))
	return n, err
}

// Write counts what went out.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
