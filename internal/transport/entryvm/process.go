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

	"lagoongw/internal/coordination/calibration"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/capacities"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/connection"
	"lagoongw/internal/transport/detour"
	"lagoongw/internal/transport/duties"
	"lagoongw/internal/transport/gateway"
	"lagoongw/internal/transport/httpapi"
	"lagoongw/internal/transport/members"
	"lagoongw/internal/transport/origins"
	"lagoongw/internal/transport/peer"
	"lagoongw/internal/transport/schedule"
	"lagoongw/internal/transport/shutdown"
	"lagoongw/internal/transport/usages"
)

const (
	// headerTimeout and callerIdleTimeout limit the clients of all HTTP listeners. Callers stop reusing an idle connection
	// sooner than callerIdleTimeout.
	headerTimeout     = 5 * time.Second
	callerIdleTimeout = time.Minute
	// writeTimeout limits the time to read a request and to write its answer; the gateway replaces it by the request's
	// own deadline.
	writeTimeout      = time.Minute
	peerIdleTimeout   = 30 * time.Second
	drainPollInterval = 50 * time.Millisecond
	// idleCheckInterval is the time between two checks for idle connections to upstreams.
	idleCheckInterval = time.Second
	// firstIncarnation is the incarnation of a node at every start; the membership protocol raises it when a member
	// remembers an earlier run.
	firstIncarnation = 1
	// originTickInterval is the time between two checks for nodes that are still to be told where streams began.
	originTickInterval = 250 * time.Millisecond
	// readyPollInterval is the time between two checks of whether a starting node is ready to join.
	readyPollInterval = 50 * time.Millisecond
)

// Addresses are the TCP addresses that a process listens on.
type Addresses struct {
	Callers   string
	Ready     string
	Directory string
	Peers     string
	Metrics   string
}

// Process is the gateway process of an entry VM; its exported fields must be set before Prepare.
type Process struct {
	// Name, AvailabilityZone and Region identify the VM and its location.
	Name             string
	AvailabilityZone string
	Region           string
	// Listen holds the addresses of the listeners.
	Listen Addresses
	// Secret authenticates peers; all nodes share it.
	Secret []byte
	// Tunables are the initial tunables; Reconfigure replaces them while the process runs.
	Tunables Tunables
	// Codec translates between the HTTP messages of callers and upstreams and those of the gateway.
	Codec gateway.Codec
	// Catalog follows the routes and upstreams; Prepare sets its table, peers, logger and callback.
	Catalog *catalog.Service
	// VersionRecord and StreamLog, if set, are the topics of the store that hold the software versions that have served, and at
	// which of them streams began.
	VersionRecord origins.Stored
	StreamLog     origins.Stored
	// UsageReports describes the usage reports, nil if there are none.
	UsageReports *UsageReports
	// ReadyRoutes builds the HTTP routes of the platform's readiness check, DirectoryRoutes those that tell callers which
	// entry VMs to connect to.
	ReadyRoutes     func(ready func() bool) []rest.Route
	DirectoryRoutes func(addresses func(zone, region string) []string) []rest.Route
	// Duties keeps the lease of the duties, nil if there are none; Prepare sets its live nodes and logger.
	Duties *duties.Service
	// DroppedLines returns the number of log lines that were dropped.
	DroppedLines func() int64
	// MemoryLimit is the memory in bytes above which the platform kills the process, 0 for none.
	MemoryLimit int64
	// Descriptors is how many sockets the process may have open, 0 if unknown.
	Descriptors int
	// Autoscale describes how upstreams are ordered, nil if this is no duty of the site.
	Autoscale *Autoscale
	// Logger receives the log lines of the process.
	Logger zerolog.Logger

	tunables       atomic.Pointer[Tunables]
	table          *replica.Table
	dispatcher     *dispatch.Dispatcher
	connections    *connection.Pool
	gateway        *gateway.Server
	members        *members.Service
	client         *peer.Client
	server         *peer.Server
	peerListener   net.Listener
	origins        *origins.Service
	detours        *detour.Dialer
	detourServer   *detour.Server
	capacities     *capacities.Service
	usages         *usages.Service
	loadReporter   loadReporter
	memoryReporter memoryReporter
	outgoing       outgoing
	fetchTimes     fetchTimes
	seedTimes      seedTimes
	// unpacking is held while a packed update is unpacked, which makes a few kilobytes several megabytes at most.
	unpacking    sync.Mutex
	memoryBudget *memory.Budget
	callers      connectionLimit
	budgetsMu    sync.Mutex
	budgets      map[string]*retry.WindowBudget
	startedAt    time.Time
	drainer      shutdown.Drainer
	tasks        schedule.Tasks
	stability    stability
}

// Run serves until a drain has finished or the context is done. It returns an error if a listener can't be started.
func (p *Process) Run(ctx context.Context) error {
	httpServers, err := p.startListeners(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { p.Catalog.Run(ctx) })
	group.Go(func() { p.joinWhenReady(ctx) })
	group.Go(func() { p.runDuties(ctx) })
	group.Go(func() { schedule.Every(ctx, idleCheckInterval, p.connections.CloseIdle) })
	group.Go(func() { schedule.Every(ctx, loadReportInterval, p.loadReporter.report) })
	group.Go(func() { schedule.Every(ctx, detourTickInterval, p.detours.Tick) })
	group.Go(func() { schedule.Every(ctx, originTickInterval, p.tickOrigins) })
	group.Go(func() { schedule.Every(ctx, memoryCheckInterval, p.memoryReporter.check) })
	if p.capacities != nil {
		group.Go(func() { p.capacities.Run(ctx) })
	}
	if p.usages != nil {
		group.Go(func() { p.usages.Run(ctx) })
	}
	p.Logger.Info().Str("address", p.Listen.Callers).Msg("serving")
	p.drainer.Run(ctx)
	p.finish(ctx, httpServers)
	cancel()
	_ = p.peerListener.Close()
	p.client.Close()
	p.server.Close()
	group.Wait()
	p.Logger.Info().Msg("stopped")
	return nil
}

// finish ends the requests that are still in flight, closes the listeners for HTTP and stops the background work. It waits until
// the answers are sent and the calls have ended, for as long as the grace period allows.
func (p *Process) finish(ctx context.Context, httpServers []*http.Server) {
	p.Logger.Info().
		Int("requests", p.gateway.InFlight()).
		Int("connections-for-others", p.detourServer.Connections()).
		Msg("drain finished: ending what is left")
	p.gateway.EndRequests()
	ctx, cancel := context.WithTimeout(ctx, drain.TimeoutsFor(p.tunables.Load().GracePeriod).Stop)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range httpServers {
		group.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	for _, stop := range []func(context.Context){
		p.origins.Stop,
		p.gateway.Stop,
		p.tasks.Stop,
	} {
		group.Go(func() { stop(ctx) })
	}
	group.Wait()
}

// Prepare initializes the process; Run, Drain and Reconfigure may be called in any order after it.
func (p *Process) Prepare() {
	p.table = replica.NewTable()
	p.connections = connection.NewPool()
	p.connections.MaxIdle = maxIdleConnections(p.MemoryLimit, p.Descriptors)
	p.connections.ReceiveBuffer = connection.ReceiveBufferFor(p.MemoryLimit)
	p.dispatcher = &dispatch.Dispatcher{
		Name:             p.Name,
		AvailabilityZone: p.AvailabilityZone,
		Region:           p.Region,
		Table:            p.table,
		Pool:             p.lookupPool,
		Nodes:            func() int { return p.members.LiveCount() },
		Rank:             p.rank,
		CountRequests:    p.Autoscale != nil,
		OnSplitChange:    p.logSplitChange,
		OnProfileChange:  p.logProfileChange,
	}
	p.Catalog.Table = p.table
	p.Catalog.OnUpstreamsChange = p.upstreamsChanged
	p.Catalog.Logger = p.Logger
	p.Catalog.Peers = catalogPeers{process: p}
	p.origins = p.newOrigins()
	p.Catalog.Versions = p.origins
	p.Catalog.Prepare()
	p.budgets = map[string]*retry.WindowBudget{}
	p.startedAt = time.Now()
	p.memoryReporter.process = p
	p.memoryBudget = memory.NewBudget(p.MemoryLimit)
	p.callers.limit = maxConnections(p.memoryBudget, p.Descriptors)
	p.capacities = p.newCapacities()
	p.prepareDetours()
	p.gateway = &gateway.Server{
		Codec:       p.Codec,
		Routes:      p.Catalog.CurrentRoutes,
		AwaitReady:  p.Catalog.AwaitReady,
		Outdated:    p.routesOutdated,
		Dispatcher:  p.dispatcher,
		Connections: p.connections,
		RetryBudget: p.budget,
		ConfirmDown: p.detours.ConfirmDown,
		TellPause:   p.tellPause,
		Origins:     p.origins,
		AwaitList:   p.origins.AwaitList,
		ListReadAt:  p.Catalog.UpstreamsReadAt,
		AskHolder:   p.askHolder,
		TellHolder:  p.tellHolder,
		Phase:       p.Phase,
		Accepts:     p.drainer.Accepts,
		Memory:      p.memoryBudget,
		Crowded:     p.callers.crowded,
		Metrics:     p.metrics(),
		Logger:      p.Logger,
	}
	p.preparePeers()
	p.prepareDuties()
	p.prepareUsages()
	p.drainer.PollInterval = drainPollInterval
	p.drainer.InFlight = p.inFlight
	p.drainer.Announce = p.members.Leave
	p.drainer.Logger = p.Logger
	p.Reconfigure(p.Tunables)
}

// logSplitChange logs how many engines of a pool are reserved for interactive requests.
func (p *Process) logSplitChange(pool string, interactive, engines int) {
	p.Logger.Info().
		Str("decision", "division").
		Str("pool", pool).
		Int("interactive-engines", interactive).
		Int("engines", engines).
		Msg("engine split changed")
}

// logProfileChange logs what is known of the speed of a pool's engines.
func (p *Process) logProfileChange(pool string, profile calibration.Profile) {
	const thousandTokens = 1000
	p.Logger.Info().
		Str("decision", "calibration").
		Str("pool", pool).
		Dur("start-ms", profile.Start()).
		Dur("prefill-ms-per-1000-tokens", profile.Prefill(thousandTokens)).
		Dur("step-ms", profile.Step(0)).
		Msg("speed of the engines learned")
}

// preparePeers prepares the client and the server for peer calls, and the membership protocol.
func (p *Process) preparePeers() {
	p.loadReporter.process = p
	p.outgoing.process = p
	p.outgoing.outbox.MaxBytes = MaxOutgoingBytes
	p.client = &peer.Client{
		Name:    p.Name,
		Secret:  p.Secret,
		Control: p.connections.ReceiveBuffer.Control,
	}
	p.members = &members.Service{
		Machine: membership.New(wire.Member{
			Name: p.Name,
			// A restarted node raises its incarnation above the one that members remember. The start time would not do as
			// an incarnation, since the clock may jump back.
			Incarnation:      firstIncarnation,
			Address:          p.Listen.Peers,
			CallerAddress:    p.Listen.Callers,
			AvailabilityZone: p.AvailabilityZone,
			Region:           p.Region,
		}, p.Tunables.Seeds),
		Client:     p.client,
		FillDigest: func(digest *wire.Digest) { digest.Revision = p.Catalog.RoutesVersion() },
		OnDigest:   p.fetchNewerRoutes,
		Logger:     p.Logger,
	}
	p.members.Machine.Start(time.Now())
	p.server = &peer.Server{
		Secret:      p.Secret,
		LaneOf:      topicLane,
		IdleTimeout: peerIdleTimeout,
		ServeStream: p.serveStream,
		Logger:      p.Logger,
		Handlers: map[string]peer.Handler{
			peer.MethodDigest:         p.requireReady(p.members.HandleDigest),
			peer.MethodIndirectProbe:  p.requireReady(p.members.HandleIndirectProbe),
			peer.MethodFeedUpdate:     p.handleFeedUpdate,
			peer.MethodFeedFetch:      p.requireReady(p.handleFeedFetch),
			peer.MethodLoadDigest:     loadDigestHandler(p.dispatcher.ReceiveDigest),
			peer.MethodZoneLoads:      loadDigestHandler(p.dispatcher.ReceiveZoneDigest),
			peer.MethodRelayLoads:     p.requireReady(p.loadReporter.handleRelayLoads),
			peer.MethodTakeLimit:      p.handleTakeLimit,
			peer.MethodReleasePlace:   p.handleReleasePlace,
			peer.MethodTellOrigins:    p.handleTellOrigins,
			peer.MethodFindOrigin:     p.handleFindOrigin,
			peer.MethodFindVersions:   p.handleFindVersions,
			peer.MethodTellVersions:   p.handleTellVersions,
			peer.MethodRecordVersions: p.handleRecordVersions,
			peer.MethodDetour:         p.handleDetour,
			peer.MethodPause:          p.handlePause,
		},
	}
}

// routesOutdated reports whether newer routes than those of this node may be in force: another node has some, or this one is
// starting and doesn't know yet whether its routes are current.
func (p *Process) routesOutdated() bool { return !p.Catalog.Ready() || p.Catalog.RoutesOutdated() }

// joinWhenReady joins the members once this node can serve.
func (p *Process) joinWhenReady(ctx context.Context) {
	p.awaitCatalog(ctx)
	p.members.Run(ctx)
}

// awaitCatalog waits until the routes and upstreams are known, or until the context ends.
func (p *Process) awaitCatalog(ctx context.Context) {
	for !p.Catalog.Ready() && ctx.Err() == nil {
		schedule.Pause(ctx, readyPollInterval)
	}
}

func (p *Process) lookupPool(name string) (route.Pool, bool) {
	table := p.Catalog.CurrentRoutes()
	if table == nil {
		return route.Pool{}, false
	}
	return table.Pool(name)
}

// budget returns the retry budget of a pool; all known members share the slack evenly.
func (p *Process) budget(pool string) *retry.WindowBudget {
	p.budgetsMu.Lock()
	defer p.budgetsMu.Unlock()
	b := p.budgets[pool]
	if b == nil {
		b = &retry.WindowBudget{
			Allowance: p.allowance,
			// A node that knows no others yet still knows how many its settings name.
			Nodes:         func() int { return max(len(p.members.Members()), len(p.tunables.Load().Seeds)) },
			NodeStartedAt: p.startedAt,
		}
		p.budgets[pool] = b
	}
	return b
}

func (p *Process) allowance() retry.Allowance { return p.tunables.Load().RetryAllowance }

// Ready reports whether the node can serve callers: it is not draining, and its routes and upstreams are known.
func (p *Process) Ready() bool {
	return p.Phase() == drain.Serving && p.Catalog.Ready()
}

// entryAddresses returns the caller addresses of the live nodes in a caller's region, or in all regions if there are
// none; the caller's availability zone makes no difference.
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

// startListeners opens all listeners, starts to serve on them, and returns the HTTP servers.
func (p *Process) startListeners(ctx context.Context) ([]*http.Server, error) {
	ready, err := httpapi.NewHandler(p.Logger, p.ReadyRoutes(p.Ready))
	if err != nil {
		return nil, eris.Wrap(err, "build readiness routes")
	}
	directory, err := httpapi.NewHandler(p.Logger, p.DirectoryRoutes(p.entryAddresses))
	if err != nil {
		return nil, eris.Wrap(err, "build directory routes")
	}
	listenConfig := net.ListenConfig{Control: connection.ReceiveBufferFor(p.MemoryLimit).Control}
	peers, err := listenConfig.Listen(ctx, "tcp", p.Listen.Peers)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for peers on %s", p.Listen.Peers)
	}
	p.peerListener = peers
	go func() { _ = p.server.Run(peers) }()
	var httpServers []*http.Server
	for _, endpoint := range []struct {
		address     string
		handler     http.Handler
		connections *connectionLimit
		timeouts    func() httpapi.Timeouts
	}{
		{
			address:     p.Listen.Ready,
			handler:     ignoreBody(ready),
			connections: &connectionLimit{limit: maxOperatorConnections},
			timeouts:    fixedTimeouts,
		},
		{
			address:     p.Listen.Directory,
			handler:     ignoreBody(directory),
			connections: &p.callers,
			timeouts:    fixedTimeouts,
		},
		{
			address:     p.Listen.Metrics,
			handler:     ignoreBody(p.gateway.Metrics.Handler()),
			connections: &connectionLimit{limit: maxOperatorConnections},
			timeouts:    fixedTimeouts,
		},
		{
			address:     p.Listen.Callers,
			handler:     p.gateway,
			connections: &p.callers,
			timeouts:    p.callerTimeouts,
		},
	} {
		socket, err := listenConfig.Listen(ctx, "tcp", endpoint.address)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", endpoint.address)
		}
		httpServers = append(httpServers,
			serveHTTP(socket, endpoint.handler, endpoint.connections, endpoint.timeouts, p.Logger))
	}
	return httpServers, nil
}

// serveHTTP starts to serve HTTP on a socket within a limit of connections and the timeouts in force.
func serveHTTP(
	socket net.Listener, handler http.Handler, connections *connectionLimit, timeouts func() httpapi.Timeouts,
	logger zerolog.Logger,
) *http.Server {
	server := &http.Server{
		Handler:        connections.closeWhenCrowded(handler),
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      connections.track,
		ErrorLog:       newErrorLog(logger),
	}
	listener := httpapi.LimitClients(server, limitedListener{
		Listener:    socket,
		connections: connections,
	}, timeouts)
	go func() { _ = server.Serve(listener) }()
	return server
}
