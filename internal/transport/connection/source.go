package connection

import "net"

// limitedSource reads from a connection, and fails once a limit is exhausted.
type limitedSource struct {
	net.Conn
	limited bool
	// left is the number of bytes that may still be read while limited.
	left int
}

func (l *limitedSource) limit(n int) { l.limited, l.left = true, n }

func (l *limitedSource) unlimit() { l.limited = false }

func (l *limitedSource) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
