package catalog

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// boots returns, for each service, the boot of an upstream that it may send requests to, or -1.
func (s *site) boots(upstream string) []int {
	var boots []int
	for _, service := range s.services {
		boot := -1
		if r, known := service.Table.Load().Replica(upstream); known && !r.Leaving() {
			boot = r.Boot()
		}
		boots = append(boots, boot)
	}
	return boots
}

// TestRestoredStoreTakesNothingBack restores the store from a copy that lacks a version of the routes, an upstream's
// leaving, and another one's removal.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	for name, fault := range map[string]func(s *site){
		"all nodes in touch":              func(*site) {},
		"the reader is isolated":          func(s *site) { s.isolate(0) },
		"the last node is isolated":       func(s *site) { s.isolate(2) },
		"pushes of the reader are lost":   func(s *site) { s.lose(func(from, _ int) bool { return from == 0 }) },
		"pushes between nodes arrive not": func(s *site) { s.lose(func(int, int) bool { return true }) },
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(s *site, routes, upstreams *fakeTopic) {
				is := is.New(t)
				upstreams.put("u2", "ready@7")
				upstreams.put("u3", "ready@7")
				time.Sleep(bound)
				routes.put("config", "2")
				upstreams.put("u2", "draining@7")
				upstreams.put("u3", "")
				time.Sleep(bound)
				fault(s)
				routes.restore(1)
				upstreams.restore(3) // u1, u2 and u3 ready
				for range 60 {
					time.Sleep(50 * time.Millisecond)
					is.Equal(s.versions(), []int{2, 2, 2})
					is.Equal(s.boots("u1"), []int{0, 0, 0})
					is.Equal(s.boots("u2"), []int{-1, -1, -1})
					is.Equal(s.boots("u3"), []int{-1, -1, -1})
				}
				upstreams.put("u3", "ready@7") // it had lapsed, and registers again
				routes.put("config", "2")
				routes.put("config", "3")
				time.Sleep(bound)
				is.Equal(s.versions(), []int{3, 3, 3})
				is.Equal(s.boots("u3"), []int{7, 7, 7})
			})
		})
	}
}

// TestChangesAfterARestoreReachEveryNodeInTime writes records at the offsets that the lost records had.
func TestChangesAfterARestoreReachEveryNodeInTime(t *testing.T) {
	for name, restore := range map[string]func(topic *fakeTopic){
		"one restore": func(topic *fakeTopic) { topic.restore(1) },
		"two restores in a row": func(topic *fakeTopic) {
			topic.restore(3)
			topic.restore(1)
		},
		"two restores with a read between": func(topic *fakeTopic) {
			topic.restore(3)
			time.Sleep(1700 * time.Millisecond)
			topic.restore(1)
		},
		"a restore to nothing": func(topic *fakeTopic) { topic.restore(0) },
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(s *site, routes, upstreams *fakeTopic) {
				is := is.New(t)
				for range 5 {
					upstreams.put("u9", "ready@1")
					routes.put("other", "1")
				}
				time.Sleep(bound)
				restore(routes)
				restore(upstreams)
				upstreams.put("u1", "draining")
				routes.put("config", "2")
				for range 9 { // the offsets catch up with those before the restore
					upstreams.put("u9", "ready@1")
					routes.put("other", "1")
				}
				time.Sleep(bound)
				is.Equal(s.versions(), []int{2, 2, 2})
				is.Equal(s.leaving(), []bool{true, true, true})
				is.Equal(s.boots("u9"), []int{1, 1, 1})
			})
		})
	}
}

// TestUpstreamsThatTheCopyLacksAreHeld checks that an upstream that registered after the copy was made stays in use until
// it had the time to register again.
func TestUpstreamsThatTheCopyLacksAreHeld(t *testing.T) {
	runSite(t, func(s *site, _, upstreams *fakeTopic) {
		is := is.New(t)
		upstreams.put("lives", "ready@4")
		upstreams.put("dies", "ready@4")
		time.Sleep(bound)
		upstreams.restore(1)
		time.Sleep(1900 * time.Millisecond)
		is.Equal(s.boots("lives"), []int{4, 4, 4})
		is.Equal(s.boots("dies"), []int{4, 4, 4})
		upstreams.put("lives", "ready@4")
		time.Sleep(5 * time.Second)
		is.Equal(s.boots("lives"), []int{4, 4, 4})
		is.Equal(s.boots("dies"), []int{-1, -1, -1})
	})
}

// TestNodeThatStartsAfterARestoreAsksItsPeersFirst starts a node when the store was just restored: what its peers know
// goes before the older copy.
func TestNodeThatStartsAfterARestoreAsksItsPeersFirst(t *testing.T) {
	runSite(t, func(s *site, routes, upstreams *fakeTopic) {
		is := is.New(t)
		upstreams.put("u2", "ready@7")
		time.Sleep(bound)
		routes.put("config", "2")
		upstreams.put("u2", "draining@7")
		time.Sleep(bound)
		routes.restore(1)
		upstreams.restore(2)
		started, stop := s.startNode(routes, upstreams, 40*time.Millisecond)
		defer stop()
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			if started.Ready() {
				is.Equal(started.RoutesVersion(), 2)
				u2, known := started.Table.Load().Replica("u2")
				is.True(!known || u2.Leaving())
			}
		}
		is.True(started.Ready())
	})
}

// TestAllNodesStartAfterARestore checks that nodes that know nothing else serve by the older copy, and take what is
// written again.
func TestAllNodesStartAfterARestore(t *testing.T) {
	runSite(t, func(_ *site, routes, upstreams *fakeTopic) {
		is := is.New(t)
		routes.put("config", "2")
		time.Sleep(bound)
		routes.restore(1)
		upstreams.restore(1)
		started, stop := newSite().startNode(routes, upstreams, 40*time.Millisecond)
		defer stop()
		time.Sleep(time.Second)
		is.True(started.Ready())
		is.Equal(started.RoutesVersion(), 1)
		routes.put("config", "2")
		time.Sleep(bound)
		is.Equal(started.RoutesVersion(), 2)
	})
}

// startNode starts one more node, which does not read for others; its calls of peers take the given time.
func (s *site) startNode(routes, upstreams *fakeTopic, roundTrip time.Duration) (started *Service, stop func()) {
	started = newNode(slowPeers{
		sitePeers: sitePeers{
			site: s,
			self: len(s.services),
		},
		roundTrip: roundTrip,
	}, routes, upstreams)
	started.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { started.Run(ctx) })
	return started, func() {
		cancel()
		group.Wait()
	}
}

// slowPeers are peers of a node that takes a while to reach them.
type slowPeers struct {
	sitePeers
	roundTrip time.Duration
}

func (p slowPeers) FetchFromSeeds(ctx context.Context, topic string) (update wire.FeedUpdate, err error) {
	time.Sleep(p.roundTrip)
	return p.sitePeers.FetchFromSeeds(ctx, topic)
}
