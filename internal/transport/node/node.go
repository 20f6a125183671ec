package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/placement"
	"lagoongw/internal/coordination/quota"
	"lagoongw/internal/coordination/routing"
	"lagoongw/internal/transport/caller"
	"lagoongw/internal/transport/claims"
	"lagoongw/internal/transport/httpapi"
	"lagoongw/internal/transport/leases"
	"lagoongw/internal/transport/members"
	"lagoongw/internal/transport/peer"
	"lagoongw/internal/transport/platform"
	"lagoongw/internal/transport/rules"
	"lagoongw/internal/transport/shutdown"
	"lagoongw/internal/transport/upstream"
	"lagoongw/internal/transport/upstreams"
)

const (
	rememberedRequests = 20000
	headerTimeout      = 5 * time.Second
	callerIdle         = 2 * time.Minute
	peerIdle           = 30 * time.Second
	flushTimeout       = 5 * time.Second
	// DefaultLeaseLength is the length of the lease of the engine pool; a sixth of it is kept back for drift and pauses.
	DefaultLeaseLength = 12 * time.Second
	// DefaultDemandReportInterval is the time between the reports of demand to the lease's holder.
	DefaultDemandReportInterval = 20 * time.Second
	marginPart                  = 6
)

// Node is one entry VM's process; its exported fields are set before Run.
type Node struct {
	// Name names the node among all nodes.
	Name string
	// Listen and PeerListen are the addresses for callers and for peers; Address and PeerAddress are those told to others.
	Listen      string
	PeerListen  string
	Address     string
	PeerAddress string
	// AvailabilityZone and Region are where the node stands.
	AvailabilityZone string
	Region           string
	// CallerListener and PeerListener, when set, are open sockets to use in place of Listen and PeerListen.
	CallerListener net.Listener
	PeerListener   net.Listener
	// PlatformURL is the platform's base URL.
	PlatformURL string
	// Secret is shared by all nodes; OperatorTokenHash is the SHA-256 of the operator token.
	Secret            []byte
	OperatorTokenHash string
	// Seeds are peer addresses known from the settings.
	Seeds []string
	// EntryAnswerTTL is how long callers may keep an entry answer.
	EntryAnswerTTL time.Duration
	// KeyLifetime is how long an idempotency key is honoured; LogRetention is how long the log keeps records.
	KeyLifetime  time.Duration
	LogRetention time.Duration
	// ClaimPartitions is the number of claims streams.
	ClaimPartitions int
	// ClaimHolders is how many nodes of a zone read each claims stream; the others claim through them.
	ClaimHolders int
	// StreamIdleTimeout is the longest that a stream may be silent; LogTimeout bounds a call to the platform.
	StreamIdleTimeout time.Duration
	LogTimeout        time.Duration
	// LeaseLength is the length of the engine pool's lease; DemandReportInterval is the time between reports of demand.
	LeaseLength          time.Duration
	DemandReportInterval time.Duration
	// LinkBytesPerSecond is this node's share of the link between regions in bytes a second, zero for no limit.
	LinkBytesPerSecond float64
	// Logger takes JSON lines.
	Logger zerolog.Logger

	prepared    atomic.Bool
	incarnation string
	platform    *platform.Client
	upstream    *upstream.Client
	client      *peer.Client
	server      *peer.Server
	members     *members.Service
	rules       *rules.Service
	claims      *claims.Service
	leases      *leases.Service
	upstreams   *upstreams.Service
	router      *routing.Router
	limiter     *quota.Limiter
	meter       *placement.Meter
	caller      *caller.Server
	pools       pools
	owners      owners
	fetching    sync.Mutex
	drainer     shutdown.Drainer
}

// Run serves until a drain has finished or the context ends; the error says what could not be started.
func (n *Node) Run(ctx context.Context) error {
	if err := n.prepare(); err != nil {
		return err
	}
	callers, peers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	handler, err := httpapi.NewHandler(n.Logger, append(n.caller.Routes(), n.operator().Routes()...))
	if err != nil {
		return eris.Wrap(err, "build routes")
	}
	web := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    caller.MaxHeaderBytes,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { _ = web.Serve(callers) })
	group.Go(func() { _ = n.server.Run(peers) })
	n.startServices(ctx, &group)
	n.Logger.Info().Str("address", n.Address).Str("incarnation", n.incarnation).Msg("serving")
	n.drainer.Run(ctx)
	_ = web.Shutdown(context.WithoutCancel(ctx))
	n.flush()
	cancel()
	_ = peers.Close()
	n.server.Close()
	n.client.Close()
	group.Wait()
	n.Logger.Info().Msg("stopped")
	return nil
}

func (n *Node) listen(ctx context.Context) (callers, peers net.Listener, err error) {
	var sockets net.ListenConfig
	callers, peers = n.CallerListener, n.PeerListener
	if callers == nil {
		callers, err = sockets.Listen(ctx, "tcp", n.Listen)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "listen for callers on %s", n.Listen)
		}
	}
	if peers == nil {
		peers, err = sockets.Listen(ctx, "tcp", n.PeerListen)
		if err != nil {
			_ = callers.Close()
			return nil, nil, eris.Wrapf(err, "listen for peers on %s", n.PeerListen)
		}
	}
	return callers, peers, nil
}

func (n *Node) startServices(ctx context.Context, group *sync.WaitGroup) {
	for _, run := range []func(context.Context){
		n.members.Run,
		n.rules.Run,
		n.claims.Run,
		n.leases.Run,
		n.upstreams.Run,
		n.runPools,
		n.runOwners,
		n.runDemand,
	} {
		group.Go(func() { run(ctx) })
	}
}

// flush waits until the outcomes of what ran are in the log, for a bounded time.
func (n *Node) flush() {
	until := time.Now().Add(flushTimeout)
	for n.claims.Unwritten() > 0 && time.Now().Before(until) {
		time.Sleep(10 * time.Millisecond)
	}
	if left := n.claims.Unwritten(); left > 0 {
		n.Logger.Error().Int("records", left).Msg("claim records not written before the end; their keys will answer unknown")
	}
}
