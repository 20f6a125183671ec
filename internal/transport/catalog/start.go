package catalog

import (
	"context"
	"sync"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/schedule"
)

const (
	// storeReadDelay is how long a starting node waits for its peers before it reads the topics from the store, which sends
	// them whole and uncompressed; after a peer's snapshot it returns only what has changed since. A peer in another region
	// answers within some round trips, 180 ms, and needs some more to send large routes. Callers that come meanwhile wait
	// for up to readyWait.
	storeReadDelay     = 350 * time.Millisecond
	seedsCheckInterval = 10 * time.Millisecond
	// seedsStartLimit is how long a starting node waits for seeds that are starting too. Where all nodes start together, only the
	// seeds then read the store, whose answers to all others would fill the links between regions. After that time the node
	// reads the store itself, since its seeds may be unable to.
	seedsStartLimit = 4 * time.Second
	// seedRetryInterval is the first time between two requests to seeds that are starting, which doubles up to
	// maxSeedRetryInterval: a seed answers those of hundreds of nodes.
	seedRetryInterval    = 100 * time.Millisecond
	maxSeedRetryInterval = 400 * time.Millisecond
	// copyReadDelay is how long a starting node waits for the topics before it reads the copies; the store answers within
	// milliseconds, plus a round trip between regions.
	copyReadDelay = storeReadDelay + 250*time.Millisecond
	// MaxStartAge is how old, at the start of a node, what it learns of the topics may be for it to be ready: no older than at a
	// node that runs, which learns of each read by another one, fallbacks included.
	MaxStartAge = 2500 * time.Millisecond
	// startLimit is how long a starting node waits for topics that are current. Then it serves by the last ones that it has
	// found: callers of a site whose store is unavailable are better served by old routes than by none.
	startLimit = 2 * time.Second
	// readyWait is how long a request waits for a starting node. A caller gives up a connection on which its request isn't read
	// within a second, and needs a new connection to return after a refusal.
	readyWait          = 500 * time.Millisecond
	readyCheckInterval = 5 * time.Millisecond
)

// Ready reports whether the routes and the upstreams are known and current. Where the store was restored from an older copy,
// the peers must have been asked as well.
func (s *Service) Ready() bool {
	if s.ready.Load() {
		return true
	}
	ready := s.upstreamsLoaded.Load() && s.currentRoutes.Load() != nil &&
		(s.seedsAsked.Load() || s.routes.era() == 0 && s.upstreams.era() == 0) && s.startIsOver(time.Now())
	if ready {
		s.ready.Store(true)
	}
	return ready
}

// AwaitReady waits until the service is ready, for readyWait at most.
func (s *Service) AwaitReady(ctx context.Context) {
	if s.ready.Load() {
		return // as for nearly every request
	}
	schedule.Await(ctx, readyWait, readyCheckInterval, s.Ready)
}

// startIsOver reports whether both topics are current, or this node has to serve by what it has: it has waited for long, or
// neither the store nor a peer can supply the rest.
func (s *Service) startIsOver(now time.Time) bool {
	since := s.startedAt.Add(-MaxStartAge)
	settled := func(f *follower) bool {
		return f.wasCurrent(since) || s.seedsAsked.Load() && f.isUnavailable()
	}
	return settled(s.routes) && settled(s.upstreams) || now.Sub(s.startedAt) >= startLimit
}

// AwaitSeeds makes a starting node wait for the peers in the settings, one of which is starting too, before it reads the store.
func (s *Service) AwaitSeeds() { s.seedsStarting.Store(true) }

// loadFromSeeds loads the topics from a peer, unless the store answers sooner. A store that was restored from an older
// copy may lack what the peers know, so that their copies are merged in any case.
func (s *Service) loadFromSeeds(ctx context.Context) {
	defer s.seedsAsked.Store(true)
	var group sync.WaitGroup
	for _, f := range []*follower{s.routes, s.upstreams} {
		group.Go(func() {
			s.loadFrom(f, func() (wire.FeedUpdate, error) { return s.Peers.FetchFromSeeds(ctx, f.topic.Name) })
		})
	}
	group.Wait()
	s.loadFromStartingSeeds(ctx)
}

// loadFromStartingSeeds loads the topics that are still missing from a seed that was starting, once it knows them.
func (s *Service) loadFromStartingSeeds(ctx context.Context) {
	interval := seedRetryInterval
	for round := 0; s.awaitsSeeds() && ctx.Err() == nil; round++ {
		schedule.Pause(ctx, interval)
		interval = min(2*interval, maxSeedRetryInterval)
		for _, f := range []*follower{s.routes, s.upstreams} {
			fetch := func() (wire.FeedUpdate, error) { return s.Peers.FetchFromOneSeed(ctx, f.topic.Name, round) }
			if !f.loaded() && !s.loadFrom(f, fetch) {
				break
			}
		}
	}
}

// awaitsSeeds reports whether a topic is to come from a seed that is starting.
func (s *Service) awaitsSeeds() bool {
	return s.seedsStarting.Load() && time.Since(s.startedAt) < seedsStartLimit && (!s.routes.loaded() || !s.upstreams.loaded())
}

// loadFrom loads a topic with the snapshot that fetch returns, if it is needed, and reports whether fetch has returned one.
func (s *Service) loadFrom(f *follower, fetch func() (wire.FeedUpdate, error)) bool {
	askedAt := time.Now()
	update, err := fetch()
	if err != nil {
		return false
	}
	if f.loaded() && f.era() == 0 {
		return true
	}
	f.handleSnapshot(update, askedAt)
	s.Logger.Info().Str("decision", "feed").Str("topic", f.topic.Name).Int("offset", update.Next).
		Int("era", update.Era).Msg("topic loaded from a peer")
	return true
}

// loadCopies loads the copies of the topics that the store did not return within copyReadDelay of the start, or as long after this
// node has waited for its seeds. While a topic is being received its copy is not read: it may be older, and both would share the
// link.
func (s *Service) loadCopies(ctx context.Context) {
	schedule.Pause(ctx, copyReadDelay)
	if s.seedsStarting.Load() {
		s.awaitSeeds(ctx)
		schedule.Pause(ctx, copyReadDelay-storeReadDelay)
	}
	for _, f := range []*follower{s.routes, s.upstreams} {
		for f.source.Receiving() && ctx.Err() == nil {
			schedule.Pause(ctx, pollInterval)
		}
		f.loadCopy(ctx)
	}
}

// awaitSeeds waits for the answers of the peers in the settings, for storeReadDelay at most, or for seedsStartLimit if one of them
// is starting.
func (s *Service) awaitSeeds(ctx context.Context) {
	schedule.Await(ctx, time.Until(s.startedAt.Add(seedsStartLimit)), seedsCheckInterval, func() bool {
		return s.seedsAsked.Load() || !s.seedsStarting.Load() && time.Since(s.startedAt) >= storeReadDelay
	})
}
