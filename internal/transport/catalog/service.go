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
	// routesWait is how long a read of the routes waits for a change. A read that hangs while the store is well ends a call
	// timeout later, and the next one must still bring a change within the bound of three seconds.
	routesWait = 2 * time.Second
	// tickEvery is how often the turn to read and held removals are looked at.
	tickEvery = 100 * time.Millisecond
	// defaultPeriod is the time between two reads of the upstreams by all nodes together: half of the bound in which a
	// leaving upstream has to be known, so that a reader may fail once.
	defaultPeriod = 1500 * time.Millisecond
	// copyAfter is how long a node that starts waits for the topics before it reads the copies; the store answers in
	// milliseconds, and a round trip between regions comes on top.
	copyAfter = 250 * time.Millisecond
	// saveAfter is how long a node runs before it keeps the copies: nodes that start together then agree on one reader.
	saveAfter = 4 * time.Second
)

// Names of the topics between nodes.
const (
	TopicRoutes    = "routes"
	TopicUpstreams = "upstreams"
)

// Peers passes updates between nodes.
type Peers interface {
	// Push sends an update to every live peer and does not wait.
	Push(update wire.FeedUpdate)
	// Fetch asks the peer at an address for a whole topic.
	Fetch(ctx context.Context, address, topic string) (wire.FeedUpdate, error)
	// FetchFromSeeds asks a few peers known from the settings for a whole topic.
	FetchFromSeeds(ctx context.Context, topic string) (wire.FeedUpdate, error)
	// ReaderRank is this node's place among the readers of the store, 0 first.
	ReaderRank() int
}

// Service keeps the catalog; its exported fields are set before Run.
type Service struct {
	// Routes and Upstreams are the topics to follow.
	Routes    Source
	Upstreams Source
	// RoutesCopy and UpstreamsCopy are second copies, which this node keeps while it is the reader.
	RoutesCopy    Copy
	UpstreamsCopy Copy
	// RoutesKey is the key of the record that holds the routes.
	RoutesKey string
	// DecodeRoutes reads the routes; faults names the parts that were left out.
	DecodeRoutes func(data []byte) (table *route.Table, faults []string, err error)
	// DecodeUpstream reads the entry of an upstream.
	DecodeUpstream func(name string, data []byte) (wire.Machine, error)
	// Peers leads to the other nodes.
	Peers Peers
	// Table is given the upstreams.
	Table *replica.Table
	// OnUpstreamsChange is called after the upstreams changed.
	OnUpstreamsChange func()
	// Logger takes one line for each change of what is believed.
	Logger zerolog.Logger

	current   atomic.Pointer[route.Table]
	routes    *follower
	upstreams *follower
	mu        sync.Mutex
	roster    roster.List
	faulty    map[string]string
	listed    atomic.Bool
}

// Prepare makes the service ready to hear peers; it is called before Run.
func (s *Service) Prepare() {
	s.roster.Hold = roster.DefaultHold
	s.faulty = map[string]string{}
	s.routes = s.newFollower(TopicRoutes, s.takeRoutes)
	s.routes.source = s.Routes
	s.routes.copy = s.RoutesCopy
	s.upstreams = s.newFollower(TopicUpstreams, s.takeUpstreams)
	s.upstreams.source = s.Upstreams
	s.upstreams.copy = s.UpstreamsCopy
	s.upstreams.reached = s.upstreamsReached
	s.upstreams.lost = s.upstreamsLost
}

func (s *Service) newFollower(name string, take func(newer []wire.FeedRecord) []wire.FeedRecord) *follower {
	return &follower{
		take:    take,
		reached: func() {},
		lost:    func() {},
		push:    s.Peers.Push,
		logger:  s.Logger,
		topic:   feed.Topic{Name: name},
		turn:    feed.ReadSchedule{Period: defaultPeriod},
	}
}

// CurrentRoutes returns the routes in force, nil while there are none.
func (s *Service) CurrentRoutes() *route.Table { return s.current.Load() }

// Ready reports whether routes and upstreams are known.
func (s *Service) Ready() bool { return s.listed.Load() && s.current.Load() != nil }

// RoutesOffset returns how far this node has read the routes, for the other nodes to compare.
func (s *Service) RoutesOffset() int { return s.routes.next() }

// UpstreamsAge returns the time since the list of upstreams was last found current.
func (s *Service) UpstreamsAge() time.Duration { return s.upstreams.age(time.Now()) }

// Run keeps both topics current until the context ends.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.start(ctx) })
	group.Go(func() { s.startFromCopies(ctx) })
	group.Go(func() { s.followRoutes(ctx) })
	group.Go(func() { s.followUpstreams(ctx) })
	group.Wait()
}

// start takes the copy of a peer, if one answers before the store does.
func (s *Service) start(ctx context.Context) {
	for _, f := range []*follower{s.routes, s.upstreams} {
		update, err := s.Peers.FetchFromSeeds(ctx, f.topic.Name)
		if err == nil && !f.known() {
			f.heard(update)
			s.Logger.Info().Str("decision", "feed").Str("topic", f.topic.Name).Int("offset", update.Next).Msg("topic taken from a peer")
		}
	}
}

// startFromCopies takes the copies of topics that the store has not given soon after the start.
func (s *Service) startFromCopies(ctx context.Context) {
	schedule.Pause(ctx, copyAfter)
	s.routes.standIn(ctx)
	s.upstreams.standIn(ctx)
}

// followUpstreams reads the upstreams when it is this node's turn. A node that stands in for a silent reader reads the
// routes as well, since the reader's wait for them tells it nothing.
func (s *Service) followUpstreams(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		rank := s.Peers.ReaderRank()
		if s.upstreams.due(rank, now) {
			if s.upstreams.read(ctx, 0) != nil {
				s.upstreams.standIn(ctx)
			}
			if rank != 0 && s.routes.read(ctx, 0) != nil {
				s.routes.standIn(ctx)
			}
			s.saveCopies(ctx, rank, now.Sub(began))
		}
		s.tick(now)
		schedule.Pause(ctx, tickEvery)
	}
}

// saveCopies keeps the copies while this node is the reader, once it has had time to hear of another one.
func (s *Service) saveCopies(ctx context.Context, rank int, up time.Duration) {
	if rank != 0 || up < saveAfter || !s.routes.known() || !s.upstreams.known() {
		return
	}
	s.routes.save(ctx)
	s.upstreams.save(ctx)
}

// followRoutes waits for changes of the routes while this node is the reader.
func (s *Service) followRoutes(ctx context.Context) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if s.Peers.ReaderRank() != 0 {
			wait = 0
			schedule.Pause(ctx, tickEvery)
			continue
		}
		if s.routes.read(ctx, wait) != nil {
			s.routes.standIn(ctx)
			wait = 0
			schedule.Pause(ctx, s.routes.pause())
			continue
		}
		wait = routesWait
	}
}

// HandleUpdate takes in a peer's update; it returns true when the topic has to be fetched whole from that peer.
func (s *Service) HandleUpdate(update wire.FeedUpdate) (gap bool) {
	if f := s.follower(update.Topic); f != nil {
		return f.heard(update)
	}
	return false
}

// Snapshot returns a whole topic for a peer; known is false while this node has not read it.
func (s *Service) Snapshot(topic string) (update wire.FeedUpdate, known bool) {
	if f := s.follower(topic); f != nil {
		return f.whole()
	}
	return wire.FeedUpdate{}, false
}

// Refetch takes a whole topic from the peer at an address.
func (s *Service) Refetch(ctx context.Context, address, topic string) {
	update, err := s.Peers.Fetch(ctx, address, topic)
	if err != nil {
		s.Logger.Warn().Err(err).Str("step", "fetch "+topic).Str("peer", address).Msg("peer call failed")
		return
	}
	s.HandleUpdate(update)
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
