package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/schedule"
)

// awaitAnswer waits until a store that is silent until a time answers, for at most the time that a call may take.
func awaitAnswer(ctx context.Context, until time.Time) error {
	const timeout = 700 * time.Millisecond
	if silent := time.Until(until); silent > 0 {
		schedule.Pause(ctx, min(silent, timeout))
		return context.DeadlineExceeded
	}
	return nil
}

// runStart runs a test against a node that starts beside one peer while the store is silent. The peer is one that has read
// nothing since version 1 of the routes was written; version 2 has followed.
func runStart(t *testing.T, silence time.Duration, test func(t *testing.T, node *Service)) {
	synctest.Test(t, func(t *testing.T) {
		routes, upstreams := newTopic(), newTopic()
		routes.put("config", "1")
		upstreams.put("u1", "ready")
		s := newSite()
		old := newNode(sitePeers{site: s}, routes, upstreams)
		old.Prepare()
		old.CatchUp(t.Context(), "", TopicRoutes)
		old.CatchUp(t.Context(), "", TopicUpstreams)
		s.services = []*Service{old}
		time.Sleep(10 * time.Second)
		routes.put("config", "2")
		upstreams.put("u1", "draining")

		node := newNode(sitePeers{
			site: s,
			self: 1,
		}, routes, upstreams)
		until := time.Now().Add(silence)
		gate(node, routes, upstreams, func(ctx context.Context) error { return awaitAnswer(ctx, until) })
		defer runNode(node)()
		test(t, node)
	})
}

// TestStartingNodeIsNotReadyWithOldRoutes guards against a node that served by the routes of a peer, which were older than those
// that the store had confirmed long ago, and sent requests to an upstream that had left.
func TestStartingNodeIsNotReadyWithOldRoutes(t *testing.T) {
	runStart(t, time.Second, func(t *testing.T, node *Service) {
		is := is.New(t)
		for start := time.Now(); !node.Ready(); time.Sleep(10 * time.Millisecond) {
			is.True(time.Since(start) < bound)
		}
		is.Equal(node.RoutesVersion(), 2)
		u1, known := node.Table.Load().Replica("u1")
		is.True(!known || u1.Leaving())
	})
}

// wholeReads counts the reads of whole topics.
type wholeReads struct {
	*fakeTopic
	count *atomic.Int64
}

func (r wholeReads) Newest(ctx context.Context) (Batch, error) {
	r.count.Add(1)
	return r.fakeTopic.Newest(ctx)
}

// countWholeReads returns the number of reads of whole topics that a node will make.
func countWholeReads(node *Service, routes, upstreams *fakeTopic) *atomic.Int64 {
	var count atomic.Int64
	node.Routes = wholeReads{
		fakeTopic: routes,
		count:     &count,
	}
	node.Upstreams = wholeReads{
		fakeTopic: upstreams,
		count:     &count,
	}
	return &count
}

// runNode runs a node, and returns what stops it.
func runNode(node *Service) (stop func()) {
	node.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { node.Run(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// slowSeeds returns the seeds' answers after a delay.
type slowSeeds struct {
	sitePeers
	delay time.Duration
}

func (p slowSeeds) FetchFromSeeds(ctx context.Context, topic string) (wire.FeedUpdate, error) {
	schedule.Pause(ctx, p.delay)
	return p.sitePeers.FetchFromSeeds(ctx, topic)
}

// TestStartingNodeReadsWholeTopicsFromPeers guards against the fault that filled the links between regions: each node that started
// read both topics whole from the store, uncompressed, at the same time as from a peer.
func TestStartingNodeReadsWholeTopicsFromPeers(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		alone bool
		reads int64
		ready time.Duration
	}{
		"a peer in another region": {delay: 300 * time.Millisecond, ready: 400 * time.Millisecond},
		"a peer that is slow":      {delay: time.Second, reads: 2, ready: 700 * time.Millisecond},
		"no peer that knows them":  {alone: true, reads: 2, ready: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(s *site, routes, upstreams *fakeTopic) {
				is := is.New(t)
				peers := slowSeeds{
					sitePeers: sitePeers{
						site: s,
						self: len(s.services),
					},
					delay: c.delay,
				}
				if c.alone {
					peers.site = newSite()
				}
				node := newNode(peers, routes, upstreams)
				count := countWholeReads(node, routes, upstreams)
				defer runNode(node)()
				time.Sleep(c.ready)
				is.True(node.Ready())
				time.Sleep(bound)
				is.Equal(count.Load(), c.reads)
			})
		})
	}
}

// TestStartingNodeServesByOldRoutesWhereNobodyKnowsNewerOnes checks that a node that can't reach the store serves by what its
// peers have, after a bounded time.
func TestStartingNodeServesByOldRoutesWhereNobodyKnowsNewerOnes(t *testing.T) {
	runStart(t, time.Hour, func(t *testing.T, node *Service) {
		is := is.New(t)
		time.Sleep(bound)
		is.True(node.Ready())
		is.Equal(node.RoutesVersion(), 1)
	})
}

// TestPeersListIsAsOldAsAtThePeer guards against a node that didn't read the store for upstreams that leave, since the list of a
// peer, which had not read it either, counted as new.
func TestPeersListIsAsOldAsAtThePeer(t *testing.T) {
	runStart(t, time.Hour, func(t *testing.T, node *Service) {
		is := is.New(t)
		time.Sleep(100 * time.Millisecond)
		is.True(node.Table.Load().Len() == 1)
		is.True(node.UpstreamsAge() >= 10*time.Second)
	})
}

// TestRequestsWaitForAStartingNode guards against requests that a starting node refused, though it was to be ready soon, and checks
// that the wait is bounded.
func TestRequestsWaitForAStartingNode(t *testing.T) {
	for name, c := range map[string]struct {
		silence, wait time.Duration
		ready         bool
	}{
		"store that answers soon": {silence: 0, wait: 400 * time.Millisecond, ready: true},
		"silent store":            {silence: time.Hour, wait: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runStart(t, c.silence, func(t *testing.T, node *Service) {
				is := is.New(t)
				start := time.Now()
				node.AwaitReady(t.Context())
				is.True(time.Since(start) <= c.wait)
				is.Equal(node.Ready(), c.ready)
			})
		})
	}
}

// startingSeeds are seeds that start as well, and know the topics from a time on.
type startingSeeds struct {
	sitePeers
	node  *Service
	until time.Time
}

func (p *startingSeeds) FetchFromSeeds(context.Context, string) (wire.FeedUpdate, error) {
	p.node.AwaitSeeds()
	return wire.FeedUpdate{}, errStoreUnavailable
}

func (p *startingSeeds) FetchFromOneSeed(ctx context.Context, topic string, _ int) (wire.FeedUpdate, error) {
	if time.Now().Before(p.until) {
		return wire.FeedUpdate{}, errStoreUnavailable
	}
	return p.sitePeers.FetchFromSeeds(ctx, topic)
}

// TestNodeWaitsForSeedsThatStartToo guards against the whole topics that every node read from the store while all started, and
// checks that the wait is bounded.
func TestNodeWaitsForSeedsThatStartToo(t *testing.T) {
	for name, c := range map[string]struct {
		start time.Duration
		reads int64
		ready time.Duration
	}{
		"seeds that are soon ready": {start: time.Second, reads: 0, ready: 1500 * time.Millisecond},
		"seeds that never are":      {start: time.Hour, reads: 2, ready: 4100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(s *site, routes, upstreams *fakeTopic) {
				is := is.New(t)
				peers := &startingSeeds{
					sitePeers: sitePeers{
						site: s,
						self: len(s.services),
					},
					until: time.Now().Add(c.start),
				}
				node := newNode(peers, routes, upstreams)
				peers.node = node
				count := countWholeReads(node, routes, upstreams)
				defer runNode(node)()
				time.Sleep(c.ready)
				is.True(node.Ready())
				is.Equal(count.Load(), c.reads)
			})
		})
	}
}
