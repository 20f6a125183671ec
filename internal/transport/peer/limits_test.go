package peer

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsInWorkAreLimited guards against a goroutine and an answer held for each of the requests that one peer sends
// before the first is answered.
func TestRequestsInWorkAreLimited(t *testing.T) {
	is := is.New(t)
	const calls = 200
	release := make(chan struct{})
	var inWork atomic.Int64
	address, _ := startServer(t, map[string]Handler{echo: func(context.Context, json.RawMessage) (any, error) {
		inWork.Add(1)
		<-release
		return nil, nil
	}})
	c := newClient(t, secret)
	is.NoErr(c.Call(t.Context(), address, MethodChallenge, nil, nil)) // connects
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { _ = c.Call(t.Context(), address, echo, nil, nil) })
	}
	seen := int64(-1)
	for ; seen != inWork.Load(); time.Sleep(200 * time.Millisecond) {
		seen = inWork.Load()
	}
	close(release)
	group.Wait()
	is.True(seen <= 8)
}

// TestDownloadTakesAsLongAsBytesArrive guards against fetches of a large topic that gave up on a slow link after a fixed
// time and closed the connection that all other calls to the peer use.
func TestDownloadTakesAsLongAsBytesArrive(t *testing.T) {
	is := is.New(t)
	const silence = 500 * time.Millisecond
	hang := make(chan struct{})
	defer close(hang)
	address, _ := startServer(t, map[string]Handler{
		echo: echoHandler,
		"hang": func(context.Context, json.RawMessage) (any, error) {
			<-hang
			return nil, nil
		},
	})
	slow := startSlowLink(t, address, 12, silence/10)
	c := newClient(t, secret)
	is.NoErr(c.Call(t.Context(), slow, echo, nil, nil))
	shared := c.conns[slow].rpc
	noise := make([]byte, 100)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
	var got []byte
	is.NoErr(c.Download(t.Context(), slow, echo, noise, &got, silence)) // some 15 pieces, longer than the silence
	is.Equal(got, noise)
	is.True(c.Download(t.Context(), slow, "hang", nil, nil, silence) != nil)
	is.True(c.conns[slow].rpc == shared)
	is.NoErr(c.Call(t.Context(), slow, echo, nil, nil))
}

// startSlowLink relays connections to an address, and what comes back in pieces with a pause before each.
func startSlowLink(t *testing.T, address string, pieceBytes int, pause time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(far, near)
				_ = far.Close()
			}()
			go func() {
				defer func() { _ = near.Close() }()
				for piece := make([]byte, pieceBytes); ; time.Sleep(pause) {
					n, err := far.Read(piece)
					if err != nil {
						return
					}
					_, _ = near.Write(piece[:n])
				}
			}()
		}
	}()
	return listener.Addr().String()
}
