package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of what a node holds for its peers. Frames are counted decompressed, as JSON.
const (
	// MaxRequestBytes is the largest frame that a server reads, MaxAnswerBytes the largest that it sends and that a client
	// reads; maxHandshakeBytes is the largest frame of a peer that has not proved that it holds the shared secret.
	MaxRequestBytes   = 1 << 20
	MaxAnswerBytes    = 4 << 20
	maxHandshakeBytes = 16 << 10
	// MaxReceivedBytes is the largest sum of the compressed frames that a server or a client is receiving.
	MaxReceivedBytes = 4 << 20
	// MaxInWorkBytes is the largest sum of the parameters of the requests in work.
	MaxInWorkBytes = 4 << 20
	// MaxConnections is the largest number of connections that a server keeps.
	MaxConnections = 512
	// maxUnidentified is the largest number of connections on which nothing has come yet.
	maxUnidentified = 256
	// maxInWork is the largest number of requests in work, and maxInWorkPerConnection that of one connection, from which
	// no more is read meanwhile.
	maxInWork              = 256
	maxInWorkPerConnection = 8
	// maxCoding is the largest number of frames of more than smallFrameBytes that are being compressed or decoded at once,
	// and that of smaller ones, such as probes, which don't wait for the larger ones.
	maxCoding       = 2
	smallFrameBytes = 16 << 10
	// uncountedBytes is the size up to which a frame isn't counted: MaxConnections of them take 2 MiB.
	uncountedBytes = 4 << 10
	// writeTimeout is how long a peer may take to accept writeChunkBytes before its connection is closed.
	writeTimeout    = time.Second
	writeChunkBytes = 16 << 10
)

// ErrBusy is returned for a request that a peer refuses because it holds too many already.
var ErrBusy = eris.New("peer holds too many requests; ask another one or later")

// allowance is a number of bytes or requests that may be held at once.
type allowance struct {
	held atomic.Int64
}

// take reports whether n more may be held if at most limit are; if so, they are until they are returned with put.
func (a *allowance) take(n, limit int) bool {
	if a.held.Add(int64(n)) <= int64(limit) {
		return true
	}
	a.held.Add(int64(-n))
	return false
}

func (a *allowance) put(n int) { a.held.Add(int64(-n)) }

// smallCodingSlots and largeCodingSlots hold an element for each frame that is being compressed or decoded.
var (
	smallCodingSlots = make(chan struct{}, maxCoding)
	largeCodingSlots = make(chan struct{}, maxCoding)
)

// writeTimeoutConn closes a connection whose peer doesn't accept what is written.
type writeTimeoutConn struct {
	net.Conn
}

// Write writes p in chunks, each of which the peer must accept in time.
func (c writeTimeoutConn) Write(p []byte) (written int, err error) {
	for err == nil && written < len(p) {
		if err = c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			break
		}
		n := 0
		n, err = c.Conn.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
	}
	if err != nil {
		_ = c.Close()
	}
	return written, err
}
