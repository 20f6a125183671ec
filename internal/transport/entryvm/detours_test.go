package entryvm_test

import (
	"bufio"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/detour"
	"lagoongw/internal/transport/peer"
)

// openStream takes a connection that the process at an address has opened for another node.
func openStream(t *testing.T, address string, ticket []byte) net.Conn {
	t.Helper()
	is := is.New(t)
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	is.NoErr(err)
	is.NoErr(peer.OpenStream(conn, ticket))
	return detour.NewConn(conn, "vm-1")
}

// TestProcessConnectsToUpstreamsForOthers guards against entry VMs that don't give each other connections to upstreams, or
// give them to what is no upstream, or to whoever has no ticket.
func TestProcessConnectsToUpstreamsForOthers(t *testing.T) {
	is := is.New(t)
	gate, received := make(chan struct{}), make(chan struct{}, 1)
	close(gate)
	upstream := startUpstream(t, gate, received)
	addresses := freeAddresses(t)
	p := newProcess("vm-1", startStore(t, upstream), addresses, nil)
	start(t, p)
	eventually(t, "it is ready", func() bool {
		status, _, _ := get(t, "http://"+addresses[1]+"/readyz", nil)
		return status == http.StatusOK
	})
	client := &peer.Client{
		Name:   "vm-2",
		Secret: p.Secret,
	}
	defer client.Close()
	ask := func(address string) (answer wire.DetourAnswer) {
		is.NoErr(client.Call(t.Context(), addresses[3], peer.MethodDetour, wire.DetourRequest{Address: address}, &answer))
		return answer
	}
	open := func(ticket []byte) net.Conn { return openStream(t, addresses[3], ticket) }
	is.Equal(ask(addresses[0]).Opinion, "none") // not an upstream

	answer := ask(upstream)
	is.Equal(answer.Opinion, "reached")
	ticket, err := hex.DecodeString(answer.Ticket)
	is.NoErr(err)
	conn := open(ticket)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Expect-Instance: i-1\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "i-1")

	used := open(ticket) // a ticket is good for one connection
	defer func() { _ = used.Close() }()
	_, err = used.Read(make([]byte, 1))
	is.True(err != nil)
}

// TestConnectionForAnotherNodeLastsThroughADrain guards against answers that are cut since the node between stops, although they would
// have come within its grace period.
func TestConnectionForAnotherNodeLastsThroughADrain(t *testing.T) {
	const (
		grace = 2 * time.Second
		// answerAfter is later than the time from which the node refuses requests, and without any of its own ends its drain.
		answerAfter = 1200 * time.Millisecond
	)
	is := is.New(t)
	held, upstream := startHeldRequests(t)
	p, addresses := startWithGrace(t, upstream, grace)
	client := &peer.Client{
		Name:   "vm-2",
		Secret: p.Secret,
	}
	defer client.Close()
	var answer wire.DetourAnswer
	is.NoErr(client.Call(t.Context(), addresses[3], peer.MethodDetour, wire.DetourRequest{Address: upstream}, &answer))
	ticket, err := hex.DecodeString(answer.Ticket)
	is.NoErr(err)
	conn := openStream(t, addresses[3], ticket)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: carried\r\n\r\n")
	is.NoErr(err)
	eventually(t, "the request has reached the upstream", func() bool { return held.has("carried") })
	p.Drain()
	time.Sleep(answerAfter)
	is.Equal(p.Phase(), drain.Refusing) // the connection keeps it from its end
	held.release <- struct{}{}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}
