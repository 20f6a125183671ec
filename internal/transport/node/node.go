package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/admission"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/entry"
	"lagoongw/internal/coordination/estimate"
	"lagoongw/internal/coordination/lease"
	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/coordination/placement"
	"lagoongw/internal/coordination/quota"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/coordination/rollout"
	"lagoongw/internal/coordination/routing"
	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/caller"
	"lagoongw/internal/transport/claims"
	"lagoongw/internal/transport/leases"
	"lagoongw/internal/transport/listener"
	"lagoongw/internal/transport/members"
	"lagoongw/internal/transport/operator"
	"lagoongw/internal/transport/peer"
	"lagoongw/internal/transport/platform"
	"lagoongw/internal/transport/rules"
	"lagoongw/internal/transport/upstream"
	"lagoongw/internal/transport/upstreams"
)

const (
	rememberedRequests = 20000
	headerTimeout      = 5 * time.Second
	callerIdle         = 2 * time.Minute
	peerIdle           = 30 * time.Second
	leaveTimeout       = time.Second
	flushTimeout       = 5 * time.Second
	// DefaultLeaseLength is the length of the lease of the engine pool; a sixth of it is kept back for drift and pauses.
	DefaultLeaseLength = 12 * time.Second
	// DefaultDemandEvery is the time between the reports of demand to the lease's holder.
	DefaultDemandEvery = 20 * time.Second
	marginPart         = 6
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
	// Callers and Peers, when set, are open sockets to use in place of Listen and PeerListen.
	Callers net.Listener
	Peers   net.Listener
	// Platform is the platform's base URL.
	Platform string
	// Secret is shared by all nodes; OperatorHash is the SHA-256 of the operator token.
	Secret       []byte
	OperatorHash string
	// Seeds are peer addresses known from the settings.
	Seeds []string
	// Keep is how long callers may keep an entry answer.
	Keep time.Duration
	// KeyLifetime is how long an idempotency key is honoured; Retention is how long the log keeps records.
	KeyLifetime time.Duration
	Retention   time.Duration
	// Partitions is the number of claims streams.
	Partitions int
	// ClaimHolders is how many nodes of a zone read each claims stream; the others claim through them.
	ClaimHolders int
	// Silence is the longest that a stream may be silent; LogTimeout bounds a call to the platform.
	Silence    time.Duration
	LogTimeout time.Duration
	// LeaseLength is the length of the engine pool's lease; DemandEvery is the time between reports of demand.
	LeaseLength time.Duration
	DemandEvery time.Duration
	// LinkBytes is this node's share of the link between regions in bytes a second, zero for no limit.
	LinkBytes float64
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
	drainMu     sync.Mutex
	drain       drain.Machine
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
	handler, err := listener.NewHandler(n.Logger, append(n.caller.Routes(), n.operator().Routes()...))
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
	n.live(ctx)
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
	callers, peers = n.Callers, n.Peers
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

func (n *Node) prepare() error {
	var random [6]byte
	if _, err := rand.Read(random[:]); err != nil {
		return eris.Wrap(err, "make incarnation")
	}
	n.incarnation = hex.EncodeToString(random[:])
	n.drain.Linger = n.Keep + time.Second
	n.platform = &platform.Client{
		BaseURL:     n.Platform,
		CallTimeout: n.LogTimeout,
	}
	n.platform.Open()
	n.upstream = &upstream.Client{}
	n.upstream.Open()
	n.client = &peer.Client{
		Name:   n.Name,
		Secret: n.Secret,
	}
	n.pools.init()
	n.owners.init()
	n.limiter = quota.NewLimiter()
	n.meter = placement.NewMeter(time.Now())
	n.prepareMembers()
	n.prepareUpstreams()
	n.prepareLog()
	n.prepareCaller()
	n.prepareServer()
	n.prepared.Store(true)
	return nil
}

func (n *Node) prepareMembers() {
	n.members = &members.Service{
		Machine: &membership.Machine{
			Self: wire.Member{
				Name:             n.Name,
				Incarnation:      int(time.Now().UnixMilli()),
				Address:          n.PeerAddress,
				CallerAddress:    n.Address,
				AvailabilityZone: n.AvailabilityZone,
				Region:           n.Region,
			},
			Period:         membership.DefaultPeriod,
			ProbeTimeout:   membership.DefaultProbeTimeout,
			SuspectTimeout: membership.DefaultSuspectTimeout,
			ForgetAfter:    membership.DefaultForgetAfter,
			Fanout:         membership.DefaultFanout,
			MaxRows:        membership.DefaultMaxRows,
			Contacts:       n.Seeds,
			Random:         mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
		},
		Client: n.client,
		Fill:   n.fillDigest,
		Heard:  n.heard,
		Logger: n.Logger,
	}
	n.members.Machine.Start(time.Now())
}

func (n *Node) prepareUpstreams() {
	table := replica.NewTable()
	ejector := routing.NewEjector()
	n.router = &routing.Router{
		Name:             n.Name,
		AvailabilityZone: n.AvailabilityZone,
		Region:           n.Region,
		Table:            table,
		Ejector:          ejector,
		Link: &routing.Link{
			BytesPerSecond: n.LinkBytes,
			Burst:          n.LinkBytes,
		},
		ReportLife: routing.DefaultReportLife,
		ColdPrefix: routing.DefaultColdPrefix,
	}
	n.upstreams = &upstreams.Service{
		AvailabilityZone: n.AvailabilityZone,
		Table:            table,
		Ejector:          ejector,
		List:             n.platform.Machines,
		Report:           n.upstream.Report,
		Entries:          n.seedEntries,
		Logger:           n.Logger,
	}
}

func (n *Node) prepareLog() {
	sealer := record.Sealer{Secret: n.Secret}
	n.rules = &rules.Service{
		Log:             n.platform,
		Fold:            rollout.NewFold(sealer),
		Relay:           n.isRelay,
		Checkpointer:    n.isCheckpointer,
		Installed:       n.members.Announce,
		CheckpointEvery: n.Retention / 8,
		Logger:          n.Logger,
	}
	n.claims = &claims.Service{
		Log:            n.platform,
		Sealer:         sealer,
		Incarnation:    n.Name + "-" + n.incarnation,
		Partitions:     n.Partitions,
		Lifetime:       n.KeyLifetime,
		Holds:          n.holdsClaims,
		Holders:        n.claimHolders,
		Ask:            n.askClaim,
		Tell:           n.tellClaim,
		VerdictTimeout: n.LogTimeout + time.Second,
		Logger:         n.Logger,
	}
	n.claims.Prepare()
	n.leases = &leases.Service{
		Log: n.platform,
		Holder: &lease.Holder{
			Fold:        lease.NewFold(sealer),
			Pool:        caller.EnginePool,
			Incarnation: n.Name + "/" + n.incarnation,
			Length:      n.LeaseLength,
			Margin:      n.LeaseLength / marginPart,
			OrderTime:   n.LeaseLength,
		},
		Planner:   placement.NewPlanner(),
		Candidate: n.isLeaseCandidate,
		Checked: func() bool {
			file := n.rules.File()
			return file != nil && file.FencingChecked(caller.EnginePool)
		},
		Engines: func() []*replica.Replica { return n.router.Table.Load().Pool(caller.EnginePool) },
		Order:   n.upstream.Order,
		Logger:  n.Logger,
	}
}

func (n *Node) prepareCaller() {
	n.caller = &caller.Server{
		Name: n.Name,
		Place: entry.Place{
			AvailabilityZone: n.AvailabilityZone,
			Region:           n.Region,
		},
		Incarnation: n.incarnation,
		Address:     n.Address,
		Keep:        n.Keep,
		KeyLifetime: n.KeyLifetime,
		Silence:     n.Silence,
		Rules:       n.rules.File,
		Members:     n.members.Members,
		Phase:       n.Phase,
		Gate:        n.pools.gate,
		MarkLeaving: n.upstreams.MarkLeaving,
		Router:      n.router,
		Claims:      n.claims,
		Limiter:     n.limiter,
		Upstream:    n.upstream,
		Outcomes:    outcome.NewStore(rememberedRequests),
		Estimates:   estimate.NewClasses(),
		Budgets:     n.pools.budget,
		AskPeer:     n.askPeer,
		Metrics:     caller.NewMetrics(),
		Demand:      n.meter.Count,
		Logger:      n.Logger,
	}
}

func (n *Node) prepareServer() {
	n.server = &peer.Server{
		Secret:      n.Secret,
		IdleTimeout: peerIdle,
		Log:         n.Logger,
		Handlers: map[string]peer.Handler{
			peer.MethodDigest:   n.members.HandleDigest,
			peer.MethodIndirect: n.members.HandleIndirect,
			peer.MethodRules:    n.handleRules,
			peer.MethodSlices:   n.handleSlices,
			peer.MethodDemand:   n.handleDemand,
			peer.MethodStatus:   n.handleStatus,
			peer.MethodClaim:    n.handleClaim,
			peer.MethodNote:     n.handleNote,
		},
	}
}

func (n *Node) operator() *operator.Server {
	return &operator.Server{
		TokenHash: n.OperatorHash,
		Rules:     n.rules,
		Status:    n.Status,
		Drain:     n.Drain,
		Logger:    n.Logger,
	}
}

// newGate returns the gate of a pool that was not seen before.
func newGate(pool string) *admission.Gate {
	return admission.NewGate(pool, admission.NewQueue())
}

func newBudget(string) *retry.Budget {
	return &retry.Budget{}
}
