package entryvm

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/connection"
	"lagoongw/internal/transport/gateway"
	"lagoongw/internal/transport/httpapi"
	"lagoongw/internal/transport/members"
	"lagoongw/internal/transport/peer"
	"lagoongw/internal/transport/schedule"
	"lagoongw/internal/transport/shutdown"
)

const (
	// headerTimeout and callerIdle bound callers until limits are in force; callers reuse a connection for less.
	headerTimeout = 5 * time.Second
	callerIdle    = time.Minute
	maxHeader     = 32 << 10
	peerIdle      = 30 * time.Second
	lifeTick      = 50 * time.Millisecond
	// lingerPart is the part of the grace in which a leaving node still takes requests, longer than most callers keep an
	// answer about where to connect.
	lingerPart = 0.4
	// endPart is the part of the grace after which what is still in flight is broken off, before the kill does it.
	endPart = 0.94
	// housekeeping is how often idle connections are closed.
	housekeeping = time.Second
	// firstIncarnation is the order of every start until members say that a higher one is known.
	firstIncarnation = 1
	// readyEvery is how often a starting node looks whether it knows enough to join.
	readyEvery = 50 * time.Millisecond
)

// Addresses are the addresses that a process listens on.
type Addresses struct {
	Callers   string
	Ready     string
	Directory string
	Peers     string
	Metrics   string
}

// Process is one entry VM's process; its exported fields are set before Prepare.
type Process struct {
	// Name names the VM; AvailabilityZone and Region are where it stands.
	Name             string
	AvailabilityZone string
	Region           string
	// Listen holds the addresses to listen on.
	Listen Addresses
	// Secret is shared by all nodes.
	Secret []byte
	// Tunables may be changed by Reconfigure while the process runs.
	Tunables Tunables
	// Codec translates callers' and upstreams' messages.
	Codec gateway.Codec
	// Catalog follows routes and upstreams; Run sets its table.
	Catalog *catalog.Service
	// ReadyRoutes and DirectoryRoutes build the answers to the platform's checks and to callers who ask where to connect.
	ReadyRoutes     func(ready func() bool) []rest.Route
	DirectoryRoutes func(addresses func(zone, region string) []string) []rest.Route
	// DroppedLines returns the number of log lines that were dropped.
	DroppedLines func() int64
	// Logger takes JSON lines.
	Logger zerolog.Logger

	tunables    atomic.Pointer[Tunables]
	table       *replica.Table
	dispatcher  *dispatch.Dispatcher
	connections *connection.Pool
	gateway     *gateway.Server
	members     *members.Service
	client      *peer.Client
	server      *peer.Server
	peers       net.Listener
	loads       loads
	budgetsMu   sync.Mutex
	budgets     map[string]*retry.WindowBudget
	drainer     shutdown.Drainer
}

// Run serves until a drain has finished or the context ends; the error says what could not be started.
func (p *Process) Run(ctx context.Context) error {
	web, err := p.listenAll(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { p.Catalog.Run(ctx) })
	group.Go(func() { p.joinWhenReady(ctx) })
	group.Go(func() { schedule.Every(ctx, housekeeping, p.connections.CloseIdle) })
	group.Go(func() { schedule.Every(ctx, loadsEvery, p.loads.tell) })
	p.Logger.Info().Str("address", p.Listen.Callers).Msg("serving")
	p.drainer.Run(ctx)
	for _, server := range web {
		_ = server.Close()
	}
	cancel()
	_ = p.peers.Close()
	p.client.Close()
	p.server.Close()
	group.Wait()
	p.Logger.Info().Msg("stopped")
	return nil
}

// Prepare makes the process ready for Run, Drain and Reconfigure, which may come in any order after it.
func (p *Process) Prepare() {
	p.table = replica.NewTable()
	p.connections = connection.NewPool()
	p.dispatcher = &dispatch.Dispatcher{
		AvailabilityZone: p.AvailabilityZone,
		Region:           p.Region,
		Table:            p.table,
		Pool:             p.pool,
		Nodes:            func() int { return p.members.LiveCount() },
		OnSplitChange:    p.logDivision,
	}
	p.Catalog.Table = p.table
	p.Catalog.OnUpstreamsChange = p.dispatcher.Prune
	p.Catalog.Logger = p.Logger
	p.Catalog.Peers = peers{process: p}
	p.Catalog.Prepare()
	p.budgets = map[string]*retry.WindowBudget{}
	p.gateway = &gateway.Server{
		Codec:       p.Codec,
		Routes:      p.Catalog.CurrentRoutes,
		Dispatcher:  p.dispatcher,
		Connections: p.connections,
		RetryBudget: p.budget,
		Phase:       p.Phase,
		Metrics:     p.metrics(),
		Logger:      p.Logger,
	}
	p.preparePeers()
	p.drainer.PollInterval = lifeTick
	p.drainer.InFlight = p.gateway.InFlight
	p.drainer.Announce = p.members.Leave
	p.drainer.Logger = p.Logger
	p.Reconfigure(p.Tunables)
}

func (p *Process) logDivision(pool string, interactive, engines int) {
	p.Logger.Info().
		Str("decision", "division").
		Str("pool", pool).
		Int("interactive-engines", interactive).
		Int("engines", engines).
		Msg("engines divided anew")
}

func (p *Process) preparePeers() {
	p.loads.process = p
	p.client = &peer.Client{
		Name:   p.Name,
		Secret: p.Secret,
	}
	p.members = &members.Service{
		Machine: membership.New(wire.Member{
			Name: p.Name,
			// A start is told apart by overruling what is believed of the one before: the time of day may jump back.
			Incarnation:      firstIncarnation,
			Address:          p.Listen.Peers,
			CallerAddress:    p.Listen.Callers,
			AvailabilityZone: p.AvailabilityZone,
			Region:           p.Region,
		}, p.Tunables.Seeds),
		Client:     p.client,
		FillDigest: func(digest *wire.Digest) { digest.Revision = p.Catalog.RoutesOffset() },
		OnDigest:   p.heardDigest,
		Logger:     p.Logger,
	}
	p.members.Machine.Start(time.Now())
	p.server = &peer.Server{
		Secret:      p.Secret,
		IdleTimeout: peerIdle,
		Logger:      p.Logger,
		Handlers: map[string]peer.Handler{
			peer.MethodDigest:        p.onceReady(p.members.HandleDigest),
			peer.MethodIndirectProbe: p.onceReady(p.members.HandleIndirectProbe),
			peer.MethodFeedUpdate:    p.handleFeed,
			peer.MethodFeedFetch:     p.onceReady(p.handleFetch),
			peer.MethodLoadDigest:    handler(p.dispatcher.ReceiveDigest),
			peer.MethodZoneLoads:     handler(p.dispatcher.ReceiveZoneDigest),
			peer.MethodRelayLoads:    p.onceReady(p.loads.handleRelayLoads),
		},
	}
}

// joinWhenReady becomes a member once this node can serve.
func (p *Process) joinWhenReady(ctx context.Context) {
	for !p.Catalog.Ready() && ctx.Err() == nil {
		schedule.Pause(ctx, readyEvery)
	}
	p.members.Run(ctx)
}

func (p *Process) pool(name string) (route.Pool, bool) {
	table := p.Catalog.CurrentRoutes()
	if table == nil {
		return route.Pool{}, false
	}
	return table.Pool(name)
}

// budget returns the retry budget of a pool; the slack is shared evenly by the members that are known.
func (p *Process) budget(pool string) *retry.WindowBudget {
	p.budgetsMu.Lock()
	defer p.budgetsMu.Unlock()
	b := p.budgets[pool]
	if b == nil {
		b = &retry.WindowBudget{
			Allowance: p.allowance,
			Nodes:     func() int { return len(p.members.Members()) },
		}
		p.budgets[pool] = b
	}
	return b
}

func (p *Process) allowance() retry.Allowance { return p.tunables.Load().RetryAllowance }

// Ready reports whether the node should be given callers.
func (p *Process) Ready() bool {
	return p.Phase() == drain.Serving && p.Catalog.Ready()
}

// entryAddresses returns the addresses for a caller: the nodes of its region, or of all regions where it has none.
func (p *Process) entryAddresses(_, region string) []string {
	var near, all []string
	for _, row := range p.members.Live() {
		if row.CallerAddress == "" {
			continue
		}
		all = append(all, row.CallerAddress)
		if row.Region == region {
			near = append(near, row.CallerAddress)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

func (p *Process) listenAll(ctx context.Context) ([]*http.Server, error) {
	ready, err := httpapi.NewHandler(p.Logger, p.ReadyRoutes(p.Ready))
	if err != nil {
		return nil, eris.Wrap(err, "build ready routes")
	}
	directory, err := httpapi.NewHandler(p.Logger, p.DirectoryRoutes(p.entryAddresses))
	if err != nil {
		return nil, eris.Wrap(err, "build directory routes")
	}
	var sockets net.ListenConfig
	peers, err := sockets.Listen(ctx, "tcp", p.Listen.Peers)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s", p.Listen.Peers)
	}
	p.peers = peers
	go func() { _ = p.server.Run(peers) }()
	var web []*http.Server
	for _, served := range []struct {
		address string
		handler http.Handler
	}{
		{
			address: p.Listen.Ready,
			handler: ready,
		},
		{
			address: p.Listen.Directory,
			handler: directory,
		},
		{
			address: p.Listen.Metrics,
			handler: p.gateway.Metrics.Handler(),
		},
		{
			address: p.Listen.Callers,
			handler: p.gateway,
		},
	} {
		socket, err := sockets.Listen(ctx, "tcp", served.address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", served.address)
		}
		server := &http.Server{
			Handler:           served.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       callerIdle,
			MaxHeaderBytes:    maxHeader,
		}
		web = append(web, server)
		go func() { _ = server.Serve(socket) }()
	}
	return web, nil
}
