package entryvm

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/peer"
)

// startSilentPeer starts a listener that accepts connections and reads nothing, and returns its address.
func startSilentPeer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestSlowPeerHoldsABoundedBacklog guards against the growth of a process that sends to a peer which reads nothing: each
// message had a goroutine and a copy of its own until its call timed out.
func TestSlowPeerHoldsABoundedBacklog(t *testing.T) {
	is := is.New(t)
	p := &Process{
		Name:   "vm-1",
		Logger: zerolog.Nop(),
		client: &peer.Client{
			Name:   "vm-1",
			Secret: []byte("a secret of sixteen"),
		},
	}
	t.Cleanup(p.client.Close)
	p.outgoing.process = p
	p.outgoing.outbox.MaxBytes = 300 << 10
	var targets []wire.Member
	for i := range 8 {
		targets = append(targets, wire.Member{
			Name:    "vm-" + strconv.Itoa(2+i),
			Address: startSilentPeer(t),
		})
	}
	noise := make([]byte, 32<<10)
	_, _ = rand.Read(noise)
	most, bytes := int64(0), 0
	for i := range 200 {
		p.outgoing.send(targets, peer.MethodFeedUpdate, updateMessage(wire.FeedUpdate{
			Topic:   "routes",
			From:    i,
			Next:    i + 1,
			Records: []wire.FeedRecord{{Key: strconv.Itoa(i), Value: hex.EncodeToString(noise), Offset: i}},
		}))
		most = max(most, p.outgoing.calls.Load())
		bytes = max(bytes, p.outgoing.bytes())
	}
	is.Equal(most, int64(8))
	is.True(bytes <= 301<<10) // the excess is replaced by updates without records
	for p.outgoing.calls.Load() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(p.outgoing.bytes(), 0)
}
