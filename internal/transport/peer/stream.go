package peer

import (
	"net"

	"github.com/rotisserie/eris"
)

// streamMark is the first byte of a connection that carries a stream. A frame begins with the first byte of its length, which
// is zero.
const streamMark = 0xff

// OpenStream makes a new connection to a peer one that Server.ServeStream serves, and sends the bytes by which this side
// identifies itself.
func OpenStream(conn net.Conn, identity []byte) error {
	_, err := conn.Write(append([]byte{streamMark}, identity...))
	return eris.Wrap(err, "open a stream at a peer")
}
