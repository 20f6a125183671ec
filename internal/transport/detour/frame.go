package detour

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
)

// The bytes from the upstream come in frames of a length in two bytes and as many bytes, and end with a frame of length zero.
// A connection that ends without it was broken off, by the upstream or on the way.
const (
	frameHeaderBytes = 2
	maxFrameBytes    = 8 << 10
)

// errBrokenOff is returned when a connection through another node ends without the end of the upstream's bytes.
var errBrokenOff = errors.New("connection through another node broke off")

// Conn is a connection to an upstream through another node.
type Conn struct {
	net.Conn
	via string
	// header holds the part of a frame's header that has arrived, and left is what is still to come of a frame.
	header []byte
	left   int
	ended  bool
}

// NewConn returns the connection to an upstream whose frames come on a connection to a node.
func NewConn(conn net.Conn, node string) *Conn {
	return &Conn{
		Conn: conn,
		via:  node,
	}
}

// Via returns the name of the node that the connection leads through.
func (c *Conn) Via() string { return c.via }

// SetLinger sets what happens to unsent bytes when the connection is closed, as net.TCPConn does, where there is such a choice.
func (c *Conn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return nil
}

// Read reads bytes of the upstream. It returns io.EOF only if the upstream has ended the connection, and an error if the
// connection broke off.
func (c *Conn) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, brokenOff(err)
}

// readHeader reads the header of a frame. A timeout in its midst loses nothing.
func (c *Conn) readHeader() error {
	for len(c.header) < frameHeaderBytes {
		var buffer [frameHeaderBytes]byte
		n, err := c.Conn.Read(buffer[:frameHeaderBytes-len(c.header)])
		c.header = append(c.header, buffer[:n]...)
		if err != nil && len(c.header) < frameHeaderBytes {
			return brokenOff(err)
		}
	}
	c.left = int(binary.BigEndian.Uint16(c.header))
	c.ended = c.left == 0
	c.header = c.header[:0]
	return nil
}

// brokenOff replaces the end of the connection to the other node, which is not that of the upstream's bytes.
func brokenOff(err error) error {
	if errors.Is(err, io.EOF) {
		return errBrokenOff
	}
	return err
}

// SyscallConn returns the socket of the connection to the other node, which has bytes to read if the upstream has sent any, or
// has ended the connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// copyFrames copies the bytes of an upstream to another node in frames until the upstream ends the connection.
func copyFrames(to io.Writer, upstream io.Reader) error {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := upstream.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, writeErr := to.Write(buffer[:frameHeaderBytes+n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = to.Write(make([]byte, frameHeaderBytes))
			return err
		}
		if err != nil {
			return err
		}
	}
}
