package matrix

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lagoongw/test/fleet"
	"lagoongw/test/lab"
)

// A caller that stops reading a stream must not keep its request in flight: once the send buffers are full, the node
// has to end the stream. The small read buffer and the engine without delay between tokens fill them soon.
func TestSilentCallerLosesItsPlace(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:   1,
		Engines: 1,
		Rules:   rules(),
	})
	conn, err := net.Dial("tcp", l.Nodes[0].Address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	body := `{"model":"planner","stream":true,"max_tokens":1000000,"messages":[{"role":"user","content":"` +
		strings.Repeat("x", 10) + `"}]}`
	l.Engines[0].SetTokenTime(0)
	_, err = fmt.Fprintf(
		conn,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		fleet.MillToken, len(body), body)
	is.NoErr(err)
	inFlight := func() int { return l.Nodes[0].Status().Pools[0].InFlight }
	l.WaitUntil(func() bool { return inFlight() == 1 })
	l.WaitUntil(func() bool { return inFlight() == 0 })
}
