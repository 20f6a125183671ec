package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/coordination/roster"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/schedule"
)

const (
	// routesReadWait is how long a read of the routes waits for a change. A read that hangs although the store is
	// available ends only after this wait and a call timeout. Both together must leave time for the next read to return a
	// change within three seconds.
	routesReadWait = 2 * time.Second
	// pollInterval is the time between two checks of whether this node has to read a topic, or to remove upstreams whose
	// removal was held after an outage of the store.
	pollInterval = 100 * time.Millisecond
	// upstreamsReadPeriod is the time between two reads of the upstreams by all nodes together: half of the bound within
	// which every node must know that an upstream is leaving, so that one read may fail.
	upstreamsReadPeriod = 1500 * time.Millisecond
	// pushWait is how long a node that was told of newer records waits for them, since large ones are passed on from node to node,
	// before it fetches them. What remains of the two seconds in which the routes are to be in force suffices for that.
	pushWait          = 500 * time.Millisecond
	pushCheckInterval = 50 * time.Millisecond
	// copySaveDelay is how long a node runs before it saves the copies, so that nodes that start together have agreed on
	// one reader.
	copySaveDelay = 4 * time.Second
)

// Names of the topics in the messages between nodes.
const (
	TopicRoutes    = "routes"
	TopicUpstreams = "upstreams"
)

// Peers sends updates to the other nodes and fetches topics from them.
type Peers interface {
	// Push sends an update to every live peer without waiting for the answers.
	Push(update wire.FeedUpdate)
	// Fetch requests a snapshot of a topic from the peer at an address.
	Fetch(ctx context.Context, address, topic string) (wire.FeedUpdate, error)
	// FetchFromSeeds requests a snapshot of a topic from the peers in the settings, and prefers one that is no older than
	// MaxStartAge. It calls Service.AwaitSeeds if this node had better wait for one that is starting too.
	FetchFromSeeds(ctx context.Context, topic string) (wire.FeedUpdate, error)
	// FetchFromOneSeed requests a snapshot of a topic from one of the peers in the settings, another one in each round, most
	// often from the one that answers soonest.
	FetchFromOneSeed(ctx context.Context, topic string, round int) (wire.FeedUpdate, error)
	// FetchFromRegion requests a topic from one of the first nodes of this region in the order of readers, another one in each round.
	// The update is a snapshot, or one without records if that node has come no further than a position.
	FetchFromRegion(ctx context.Context, topic string, at Position, round int) (wire.FeedUpdate, error)
	// ReaderOrder returns this node's place in the order in which the nodes read the store. The node of rank 0 is the
	// reader; the others read only if its updates don't reach them.
	ReaderOrder() feed.Order
}

// Service follows the topics of the routes and the upstreams; its exported fields must be set before Prepare.
type Service struct {
	// Routes and Upstreams read the topics to follow.
	Routes    Source
	Upstreams Source
	// RoutesCopy and UpstreamsCopy hold copies of the topics, which this node updates while it is the reader.
	RoutesCopy    Copy
	UpstreamsCopy Copy
	// RoutesKey is the key of the record that holds the routes.
	RoutesKey string
	// DecodeRoutes decodes the routes; faults describes the parts that were skipped.
	DecodeRoutes func(data []byte) (table *route.Table, faults []string, err error)
	// DecodeRoutesVersion decodes the version of the routes alone.
	DecodeRoutesVersion func(data []byte) (int, error)
	// DecodeUpstream decodes the entry of an upstream.
	DecodeUpstream func(name string, data []byte) (wire.Machine, error)
	// Peers communicates with the other nodes.
	Peers Peers
	// Versions, if set, records the software versions of upstreams before these are listed.
	Versions VersionRecord
	// Table is updated with the upstreams.
	Table *replica.Table
	// OnUpstreamsChange is called after Table was updated; it is called with the service's lock held.
	OnUpstreamsChange func()
	// Logger receives one line for each change of the routes, the upstreams and the state of the topics.
	Logger zerolog.Logger

	currentRoutes atomic.Pointer[route.Table]
	// skippedVersion is the highest version of the routes that this node could not decode. It is written with the lock of
	// the routes' follower held.
	skippedVersion atomic.Int64
	// newestVersion is the highest version of the routes that a peer has told of.
	newestVersion atomic.Int64
	routes        *follower
	upstreams     *follower
	// mu guards roster and decodeErrors.
	mu     sync.Mutex
	roster roster.List
	// decodeErrors holds the logged error of each upstream whose entry is invalid, by name.
	decodeErrors map[string]string
	// upstreamsLoaded is set once Table was updated for the first time.
	upstreamsLoaded atomic.Bool
	// startedAt is when the service was prepared, and ready is set once it was ready.
	startedAt time.Time
	ready     atomic.Bool
	// seedsAsked is set once the peers in the settings have answered or failed to, and seedsStarting if this node waits for one
	// that is starting.
	seedsAsked    atomic.Bool
	seedsStarting atomic.Bool
	// regionRounds counts the requests to nodes of this region; only followUpstreams uses it.
	regionRounds int
	tasks        schedule.Tasks
}

// Prepare initializes the service so that it can handle updates of peers; it must be called before Run.
func (s *Service) Prepare() {
	s.startedAt = time.Now()
	s.roster.Hold = roster.DefaultHold
	s.decodeErrors = map[string]string{}
	s.routes = s.newFollower(TopicRoutes, s.applyRoutes)
	s.routes.topic.Rank = s.rankRoutes
	s.routes.topic.RankFirst = true
	s.routes.source = s.Routes
	s.routes.copy = s.RoutesCopy
	s.upstreams = s.newFollower(TopicUpstreams, s.applyUpstreams)
	s.upstreams.topic.Rank = s.rankUpstream
	s.upstreams.source = s.Upstreams
	s.upstreams.copy = s.UpstreamsCopy
	s.upstreams.versions = s.Versions
	s.upstreams.decode = s.DecodeUpstream
	s.upstreams.withhold = s.withhold
	s.upstreams.serves = s.serves
	s.upstreams.onStoreReachable = s.storeReachable
	s.upstreams.onStoreUnreachable = s.storeUnreachable
}

func (s *Service) newFollower(topic string, applyRecords func(records []wire.FeedRecord) []wire.FeedRecord) *follower {
	f := &follower{
		applyRecords:       applyRecords,
		onStoreReachable:   func() {},
		onStoreUnreachable: func() {},
		push:               s.Peers.Push,
		logger:             s.Logger,
		tasks:              &s.tasks,
		topic:              feed.Topic{Name: topic},
		readSchedule:       feed.ReadSchedule{Period: upstreamsReadPeriod},
	}
	f.hear()
	return f
}

// CurrentRoutes returns the routes in force, or nil if there are none yet.
func (s *Service) CurrentRoutes() *route.Table { return s.currentRoutes.Load() }

// RoutesVersion returns the version of the routes in force, 0 if there are none yet; the other nodes compare it with
// theirs.
func (s *Service) RoutesVersion() int {
	if table := s.CurrentRoutes(); table != nil {
		return table.Version()
	}
	return 0
}

// UpstreamsAge returns the time since the list of upstreams was last known to be up to date.
func (s *Service) UpstreamsAge() time.Duration { return s.upstreams.age(time.Now()) }

// UpstreamsReadAt returns when the list of upstreams was last known to be up to date.
func (s *Service) UpstreamsReadAt() time.Time { return s.upstreams.currentAt() }

// UpstreamsEra returns how often the store was restored from an older copy by the newest list of upstreams.
func (s *Service) UpstreamsEra() int { return s.upstreams.era() }

// RefreshUpstreams reads the upstreams now. It replaces the next regular read of this node; the other nodes are told what
// changed.
func (s *Service) RefreshUpstreams(ctx context.Context) error {
	return s.upstreams.refresh(ctx, s.Peers.ReaderOrder().Rank == 0)
}

// UpstreamsRetryIn returns how long this node waits before it reads the upstreams again after a failed read, 0 if it does not.
func (s *Service) UpstreamsRetryIn() time.Duration { return s.upstreams.retryIn(time.Now()) }

// Run keeps both topics up to date until the context is done.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.loadFromSeeds(ctx) })
	group.Go(func() { s.loadCopies(ctx) })
	group.Go(func() { s.followRoutes(ctx) })
	group.Go(func() { s.followUpstreams(ctx) })
	group.Wait()
	s.tasks.Stop(ctx)
}

// followUpstreams reads the upstreams when this node is due. A node other than the reader is due only if no update has
// reached it for a while; it then reads the routes as well, since the reader's updates of them may not reach it either.
func (s *Service) followUpstreams(ctx context.Context) {
	s.awaitSeeds(ctx)
	started := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		order := s.Peers.ReaderOrder()
		if s.upstreams.due(order, now) && !s.askRegion(ctx, order) {
			s.readTopics(ctx, order.Rank)
			s.saveCopies(ctx, order.Rank, now.Sub(started))
		}
		s.applyHeldRemovals()
		schedule.Pause(ctx, pollInterval)
	}
}

// readTopics reads the upstreams from the store, and the routes unless this node follows them as the reader.
func (s *Service) readTopics(ctx context.Context, rank int) {
	if s.upstreams.read(ctx, rank, 0) != nil {
		s.upstreams.loadCopy(ctx)
	}
	if rank != 0 && s.routes.read(ctx, rank, 0) != nil {
		s.routes.loadCopy(ctx)
	}
}

// saveCopies saves the copies while this node is the reader, once it has run long enough to know of another one.
func (s *Service) saveCopies(ctx context.Context, rank int, uptime time.Duration) {
	if rank != 0 || uptime < copySaveDelay || !s.routes.loaded() || !s.upstreams.loaded() {
		return
	}
	s.routes.save(ctx)
	s.upstreams.save(ctx)
}

// followRoutes reads the routes and waits for their changes while this node is the reader.
func (s *Service) followRoutes(ctx context.Context) {
	s.awaitSeeds(ctx)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if s.Peers.ReaderOrder().Rank != 0 {
			wait = 0
			schedule.Pause(ctx, pollInterval)
			continue
		}
		if s.routes.read(ctx, 0, wait) != nil {
			s.routes.loadCopy(ctx)
			wait = 0
			schedule.Pause(ctx, s.routes.backoff())
			continue
		}
		wait = routesReadWait
	}
}

// HandleUpdate applies a peer's update; gap reports that records are missing and the whole topic must be fetched from
// that peer.
func (s *Service) HandleUpdate(update wire.FeedUpdate) (gap bool) {
	if f := s.follower(update.Topic); f != nil {
		return f.handleUpdate(update)
	}
	return false
}

// AwaitRecords waits for the records that a peer's update left out since another node passes them on, and fetches the whole
// topic from the peer at an address if they don't come in time.
func (s *Service) AwaitRecords(ctx context.Context, address string, update wire.FeedUpdate) {
	f := s.follower(update.Topic)
	if f == nil {
		return
	}
	if !awaitUpdate(ctx, func() bool { return f.hasCome(update) }) {
		s.Refetch(ctx, address, update.Topic)
	}
}

// awaitUpdate waits up to pushWait for an update that is on its way, and reports whether it has come.
func awaitUpdate(ctx context.Context, hasCome func() bool) bool {
	return schedule.Await(ctx, pushWait, pushCheckInterval, hasCome)
}

// CatchUp reads the records that a peer's update left out from the store, or fetches the whole topic from the peer at an
// address if the store can't be read and no other peer has supplied them meanwhile.
func (s *Service) CatchUp(ctx context.Context, address, topic string) {
	f := s.follower(topic)
	if f == nil {
		return
	}
	before := f.position()
	if f.catchUp(ctx) != nil && f.position() == before {
		s.Refetch(ctx, address, topic)
	}
}

// Refetch fetches a whole topic from the peer at an address and applies it. While another fetch of the topic is in
// flight, it only asks for one more after it.
func (s *Service) Refetch(ctx context.Context, address, topic string) {
	s.fetchFrom(ctx, s.follower(topic), feed.Target{Address: address})
}

// FetchNewerRoutes fetches the routes from the peer at an address, which has a version of them, unless this node has it
// already.
func (s *Service) FetchNewerRoutes(ctx context.Context, address string, version int) {
	s.fetchFrom(ctx, s.routes, feed.Target{
		Address: address,
		Version: version,
	})
}

// fetchesBeforeRead is the number of fetches in a row that fail before the store is read, though another peer was named.
const fetchesBeforeRead = 2

// fetchFrom fetches a topic from a peer, and from another one that was named meanwhile, one at a time. If the last one
// can't supply it, or several in a row, the store is read: on a large site there is always another peer.
func (s *Service) fetchFrom(ctx context.Context, f *follower, target feed.Target) {
	if f == nil || !f.requestFetch(target) {
		return
	}
	if target.Version > 0 {
		awaitUpdate(ctx, func() bool { return s.hasVersion(target.Version) })
	}
	failures := 0
	for more := true; more; target, more = f.endFetch() {
		if target.Version > 0 && s.hasVersion(target.Version) {
			continue
		}
		askedAt := time.Now()
		update, err := s.Peers.Fetch(ctx, target.Address, f.topic.Name)
		if err == nil {
			f.handleSnapshot(update, askedAt)
			failures = 0
			continue
		}
		s.Logger.Warn().Err(err).Str("step", "fetch "+f.topic.Name).Str("peer", target.Address).
			Msg("peer call failed; reading the store unless another peer is named")
		if failures++; failures == fetchesBeforeRead {
			failures = 0
			_ = f.catchUp(ctx)
		}
	}
	if failures > 0 {
		_ = f.catchUp(ctx)
	}
}

func (s *Service) follower(topic string) *follower {
	switch topic {
	case TopicRoutes:
		return s.routes
	case TopicUpstreams:
		return s.upstreams
	}
	return nil
}
