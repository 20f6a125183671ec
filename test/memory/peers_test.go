package memory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/peer"
	"lagoongw/platform"
)

const (
	peerCount = 60
	// slowPeerCount is the number of peers that read a few bytes only of what they are sent.
	slowPeerCount = 20
	secret        = "lagoongw peers of one site"
	// readersKey is the rendezvous hashing key that ranks the nodes as readers of the store.
	readersKey = "readers"
	// slowPeerBytes is what a slow peer reads on a connection: the handshake and some answers.
	slowPeerBytes = 16 << 10
)

// peers are stand-ins of other members.
type peers struct {
	members []wire.Member
	// routes is the version of the routes that the peers announce and return.
	routes atomic.Int64
}

func peerName(i int) string { return fmt.Sprintf("peer-%d", i) }

// processName returns a name that makes a process the first or the last reader of the store among all peers.
func processName(first bool) string {
	names := make([]string, 0, peerCount+1)
	for i := range peerCount {
		names = append(names, peerName(i))
	}
	for i := 0; ; i++ {
		name := fmt.Sprintf("vm-%d", i)
		ranked := rendezvous.Rank(readersKey, append([]string{name}, names...))
		if first && ranked[0] == name || !first && ranked[peerCount] == name {
			return name
		}
	}
}

// startPeers starts the peers, whose routes have version 1 at first.
func startPeers(t *testing.T) *peers {
	s := &peers{}
	s.routes.Store(1)
	for i := range peerCount {
		member := wire.Member{
			Name:             peerName(i),
			AvailabilityZone: "a",
			Region:           "north",
			Incarnation:      1,
		}
		listener := listen(t, "127.0.0.1")
		member.Address = listener.Addr().String()
		if i < slowPeerCount {
			member.Address = slowProxy(t, member.Address)
		}
		server := &peer.Server{
			Secret:      []byte(secret),
			IdleTimeout: time.Minute,
			Logger:      zerolog.Nop(),
			Handlers: map[string]peer.Handler{
				peer.MethodDigest:     func(context.Context, json.RawMessage) (any, error) { return s.digest(member), nil },
				peer.MethodFeedUpdate: answerNothing,
				peer.MethodFeedFetch:  s.answerFetch,
				peer.MethodLoadDigest: answerNothing,
				peer.MethodZoneLoads:  answerNothing,
			},
		}
		go func() { _ = server.Run(listener) }()
		t.Cleanup(func() {
			_ = listener.Close()
			server.Close()
		})
		s.members = append(s.members, member)
	}
	return s
}

func answerNothing(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil }

func (s *peers) digest(from wire.Member) wire.Digest {
	return wire.Digest{
		From:     from,
		Known:    peerCount,
		Revision: int(s.routes.Load()),
	}
}

// answerFetch returns the routes of the version that the peers announce.
func (s *peers) answerFetch(_ context.Context, params json.RawMessage) (any, error) {
	var request wire.FeedFetch
	if err := json.Unmarshal(params, &request); err != nil || request.Topic != catalog.TopicRoutes {
		return nil, fmt.Errorf("topic %q is not known", request.Topic)
	}
	version := int(s.routes.Load())
	return wire.FeedUpdate{
		Topic: request.Topic,
		Next:  version,
		Whole: true,
		Records: []wire.FeedRecord{
			{
				Key:    platform.ManifestKey,
				Value:  manifest(version, routesAtStart+routesAdded),
				Offset: version - 1,
			},
		},
	}, nil
}

// announce sends each peer's digest to the process, all at once.
func (s *peers) announce(t *testing.T, p *process) {
	for _, member := range s.members {
		client := newClient(t, member.Name)
		go func() {
			var answer wire.Digest
			_ = client.Call(t.Context(), p.peers, peer.MethodDigest, s.digest(member), &answer)
		}()
	}
}

func newClient(t *testing.T, name string) *peer.Client {
	client := &peer.Client{
		Name:   name,
		Secret: []byte(secret),
	}
	t.Cleanup(client.Close)
	return client
}

// fetchRoutes asks the process at an address for the whole topic of the routes.
func fetchRoutes(ctx context.Context, client *peer.Client, address string) error {
	var update wire.FeedUpdate
	return client.Call(ctx, address, peer.MethodFeedFetch, wire.FeedFetch{Topic: catalog.TopicRoutes}, &update)
}

// slowProxy starts a proxy to an address, and returns its own. It reads only the first slowPeerBytes of each connection
// from either side's answers.
func slowProxy(t *testing.T, target string) string {
	listener := listen(t, "127.0.0.1")
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go relaySlowly(t.Context(), accepted, target)
		}
	}()
	return listener.Addr().String()
}

func relaySlowly(ctx context.Context, accepted net.Conn, target string) {
	defer func() { _ = accepted.Close() }()
	dialed, err := new(net.Dialer).DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = dialed.Close() }()
	const receiveBuffer = 4 << 10
	_ = accepted.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	_ = dialed.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	go func() { _, _ = io.CopyN(dialed, accepted, slowPeerBytes) }()
	_, _ = io.CopyN(accepted, dialed, slowPeerBytes)
	<-ctx.Done()
}
