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
	maxOutcomes       = 20000
	headerTimeout     = 5 * time.Second
	callerIdleTimeout = 2 * time.Minute
	peerIdleTimeout   = 30 * time.Second
	flushTimeout      = 5 * time.Second
	// DefaultLeaseLength is the default length of the engine pool's lease.
	DefaultLeaseLength = 12 * time.Second
	// DefaultDemandReportInterval is the default time between two reports of this node's demand for the models to the
	// lease holder.
	DefaultDemandReportInterval = 20 * time.Second
	// leaseMarginDivisor reserves a sixth of the lease's length as a margin for clock drift and process pauses.
	leaseMarginDivisor = 6
)

// Node runs the services of one entry VM. Its exported fields are set before Run.
type Node struct {
	// Name is the node's name, unique among all nodes.
	Name string
	// Listen and PeerListen are the addresses to listen on for callers and for peers; Address and PeerAddress are the
	// addresses advertised to them.
	Listen      string
	PeerListen  string
	Address     string
	PeerAddress string
	// AvailabilityZone and Region are the node's location.
	AvailabilityZone string
	Region           string
	// CallerListener and PeerListener, if set, are used instead of listening on Listen and PeerListen.
	CallerListener net.Listener
	PeerListener   net.Listener
	// PlatformURL is the platform's base URL.
	PlatformURL string
	// Secret is shared by all nodes; OperatorTokenHash is the SHA-256 of the operator token in hexadecimal.
	Secret            []byte
	OperatorTokenHash string
	// Seeds are the peer addresses given in the settings.
	Seeds []string
	// EntryAnswerTTL is how long callers may cache the answer about which entry VMs to use.
	EntryAnswerTTL time.Duration
	// KeyLifetime is how long an idempotency key is honoured; LogRetention is how long the log keeps records.
	KeyLifetime  time.Duration
	LogRetention time.Duration
	// ClaimPartitions is the number of partitions of the claims, each with a log stream, the same at all nodes.
	ClaimPartitions int
	// ClaimHolders is how many nodes of an availability zone are holders of each partition, which read its log stream; the
	// others send their claims to a holder.
	ClaimHolders int
	// StreamIdleTimeout is how long a response stream may be silent before it is resumed at another upstream; LogTimeout
	// is the timeout of a call to the platform.
	StreamIdleTimeout time.Duration
	LogTimeout        time.Duration
	// CallerStallTimeout is the longest time in which a caller sends nothing of its body, or accepts nothing of its answer.
	CallerStallTimeout time.Duration
	// LeaseLength is the length of the engine pool's lease, whose holder alone sends placement orders to the engines;
	// DemandReportInterval is the time between two reports of this node's demand for the models to the lease holder.
	LeaseLength          time.Duration
	DemandReportInterval time.Duration
	// LinkBytesPerSecond is this node's share of the bandwidth between regions, zero for no limit.
	LinkBytesPerSecond float64
	// Logger receives the node's JSON log lines.
	Logger zerolog.Logger

	prepared atomic.Bool
	// drainAtStart is set by Drain; startMu guards it and the change of prepared.
	startMu      sync.Mutex
	drainAtStart bool
	// incarnation is a random identifier of this run of the process.
	incarnation  string
	platform     *platform.Client
	upstream     *upstream.Client
	client       *peer.Client
	server       *peer.Server
	members      *members.Service
	rules        *rules.Service
	claims       *claims.Service
	leases       *leases.Service
	upstreams    *upstreams.Service
	router       *routing.Router
	limiter      *quota.Limiter
	meter        *placement.Meter
	caller       *caller.Server
	pools        pools
	sliceOwner   sliceOwner
	rulesFetchMu sync.Mutex
	drainer      shutdown.Drainer
}

// Run serves until a drain has finished or the context ends. It returns an error only if it can't start.
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
	httpServer := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    caller.MaxHeaderBytes,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { _ = httpServer.Serve(callers) })
	group.Go(func() { _ = n.server.Run(peers) })
	n.startServices(ctx, &group)
	n.Logger.Info().Str("address", n.Address).Str("incarnation", n.incarnation).Msg("serving")
	n.drainer.Run(ctx)
	_ = httpServer.Shutdown(context.WithoutCancel(ctx))
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
	var config net.ListenConfig
	callers, peers = n.CallerListener, n.PeerListener
	if callers == nil {
		callers, err = config.Listen(ctx, "tcp", n.Listen)
		if err != nil {
			return nil, nil, eris.Wrapf(err, "listen for callers on %s", n.Listen)
		}
	}
	if peers == nil {
		peers, err = config.Listen(ctx, "tcp", n.PeerListen)
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
		n.runPoolUpdates,
		n.runSliceRequests,
		n.runDemandReports,
	} {
		group.Go(func() { run(ctx) })
	}
}

// flush waits up to flushTimeout until the claim records, such as the outcomes of requests, are in the log or another
// holder has accepted them.
func (n *Node) flush() {
	deadline := time.Now().Add(flushTimeout)
	for n.claims.Unwritten() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if unwritten := n.claims.Unwritten(); unwritten > 0 {
		n.Logger.Error().
			Int("records", unwritten).
			Msg("claim records not written before shutdown; repeated requests with their keys get the outcome unknown")
	}
}
