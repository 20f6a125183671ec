package entryvm

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/peer"
)

// TestTransferThatWasStillArrivingGetsMoreTime guards against a slow node that fetches a topic from peers over and over,
// since each transfer is cut off after the same time.
func TestTransferThatWasStillArrivingGetsMoreTime(t *testing.T) {
	is := is.New(t)
	var f fetchTimes
	for range 5 {
		f.ended(catalog.TopicRoutes, true)
	}
	is.Equal(f.limit(catalog.TopicRoutes), longestFetchTime)
	is.True(f.silence(catalog.TopicRoutes) > 2*fetchSilence)
	is.Equal(f.limit(catalog.TopicUpstreams), maxFetchTime)
	is.Equal(f.silence(catalog.TopicUpstreams), fetchSilence)
	f.ended(catalog.TopicRoutes, false)
	is.Equal(f.limit(catalog.TopicRoutes), maxFetchTime)
}

// TestSlowTransferArrivesInTheEnd is the same with a peer whose answer takes longer than the first limit.
func TestSlowTransferArrivesInTheEnd(t *testing.T) {
	is := is.New(t)
	secret := []byte("a secret of sixteen")
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	noise := make([]byte, 12<<10)
	_, _ = rand.Read(noise)
	server := &peer.Server{
		Secret:      secret,
		IdleTimeout: time.Minute,
		Logger:      zerolog.Nop(),
		Handlers: map[string]peer.Handler{
			peer.MethodFeedFetch: func(context.Context, json.RawMessage) (any, error) {
				return wire.FeedUpdate{
					Topic:   catalog.TopicRoutes,
					Records: []wire.FeedRecord{{Value: hex.EncodeToString(noise)}},
				}, nil
			},
		},
	}
	go func() { _ = server.Run(slowListener{listener}) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	p := &Process{client: &peer.Client{
		Secret:      secret,
		DialTimeout: time.Minute,
	}}
	t.Cleanup(p.client.Close)
	fetched := false
	for range 5 {
		update, err := p.fetch(t.Context(), listener.Addr().String(), catalog.TopicRoutes)
		if fetched = err == nil && len(update.Records) == 1; fetched {
			break
		}
	}
	is.True(fetched)
}

// TestTransferAfterALongSilenceArrivesInTheEnd guards against a node whose transfers are all cut off since a busy peer takes
// longer to begin its answer than it may be silent.
func TestTransferAfterALongSilenceArrivesInTheEnd(t *testing.T) {
	is := is.New(t)
	secret := []byte("a secret of sixteen")
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &peer.Server{
		Secret:      secret,
		IdleTimeout: time.Minute,
		Logger:      zerolog.Nop(),
		Handlers: map[string]peer.Handler{
			peer.MethodFeedFetch: func(context.Context, json.RawMessage) (any, error) {
				time.Sleep(fetchSilence + fetchSilence/4)
				return wire.FeedUpdate{Topic: catalog.TopicRoutes}, nil
			},
		},
	}
	go func() { _ = server.Run(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	p := &Process{client: &peer.Client{Secret: secret}}
	t.Cleanup(p.client.Close)
	fetched := false
	for range 5 {
		_, err := p.fetch(t.Context(), listener.Addr().String(), catalog.TopicRoutes)
		if fetched = err == nil; fetched {
			break
		}
	}
	is.True(fetched)
}

// slowListener accepts connections that write large messages in pieces.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (written int, err error) {
	const small, piece, pause = 1 << 10, 2 << 10, 400 * time.Millisecond
	for len(p) > small && err == nil {
		time.Sleep(pause)
		if err = c.SetWriteDeadline(time.Now().Add(time.Minute)); err != nil {
			break
		}
		var n int
		n, err = c.Conn.Write(p[:min(len(p), piece)])
		written += n
		p = p[n:]
	}
	if err != nil || len(p) == 0 {
		return written, err
	}
	n, err := c.Conn.Write(p)
	return written + n, err
}
