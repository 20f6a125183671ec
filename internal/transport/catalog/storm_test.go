package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// latePeers deliver updates after a delay, as over full links, and count the pushes of all nodes.
type latePeers struct {
	sitePeers
	delay  time.Duration
	pushes *atomic.Int64
}

func (p latePeers) Push(update wire.FeedUpdate) {
	p.pushes.Add(1)
	age := int(p.delay / time.Millisecond)
	update.AgeMs = &age
	time.AfterFunc(p.delay, func() { p.sitePeers.Push(update) })
}

// runLateSite runs a test against a site whose updates are late; pushes counts those of all nodes, and cut makes all nodes but the
// last two lose the store.
func runLateSite(
	t *testing.T, nodes int, delay time.Duration, test func(s *site, upstreams *fakeTopic, pushes *atomic.Int64, cut *atomic.Bool),
) {
	var pushes atomic.Int64
	var cut atomic.Bool
	runNodes(t, nodes, 10*time.Second, func(s *Service, peers sitePeers, routes, upstreams *fakeTopic) {
		s.Peers = latePeers{
			sitePeers: peers,
			delay:     delay,
			pushes:    &pushes,
		}
		if peers.self >= nodes-2 {
			return
		}
		gate(s, routes, upstreams, func(context.Context) error {
			if cut.Load() {
				return errStoreUnavailable
			}
			return nil
		})
	}, func(s *site, _, upstreams *fakeTopic) { test(s, upstreams, &pushes, &cut) })
}

// TestLateUpdatesCauseNoStorm guards against every node of a large site reading the store and pushing what it read to all others
// once updates were late, which made them later.
func TestLateUpdatesCauseNoStorm(t *testing.T) {
	const nodes, periods = 60, 10
	runLateSite(t, nodes, 1200*time.Millisecond, func(_ *site, _ *fakeTopic, pushes *atomic.Int64, _ *atomic.Bool) {
		is := is.New(t)
		before := pushes.Load()
		time.Sleep(periods * upstreamsReadPeriod)
		is.True(pushes.Load()-before <= 2*10*periods) // those of ten of the nodes, of two topics
	})
}

// TestLateUpdatesMakeFewNodesReadTheStore guards against every node of a large site reading the store once updates were late. Over a
// link of 30 Mbit/s to another region their reads took so long that the node never heard of new routes.
func TestLateUpdatesMakeFewNodesReadTheStore(t *testing.T) {
	const nodes, periods = 60, 10
	runLateSite(t, nodes, 1200*time.Millisecond, func(s *site, upstreams *fakeTopic, _ *atomic.Int64, _ *atomic.Bool) {
		is := is.New(t)
		before := upstreams.callCount()
		is.True(s.oldestCopy(periods*upstreamsReadPeriod) < bound)
		is.True(upstreams.callCount()-before <= 10*periods) // those of ten of the nodes
	})
}

// oldestCopy returns the age of the oldest list of upstreams of any node within a time.
func (s *site) oldestCopy(length time.Duration) (oldest time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pollInterval / 2) {
		for _, node := range s.services {
			oldest = max(oldest, node.UpstreamsAge())
		}
	}
	return oldest
}

// TestNodeThatReachesNobodyOfItsRegionReadsTheStore guards against a node that waits for its region although it is cut off from it.
func TestNodeThatReachesNobodyOfItsRegionReadsTheStore(t *testing.T) {
	const nodes, cutOff = 40, 30
	runNodes(t, nodes, 10*time.Second, func(*Service, sitePeers, *fakeTopic, *fakeTopic) {}, func(s *site, _, _ *fakeTopic) {
		is := is.New(t)
		s.isolate(cutOff)
		is.True(s.oldestCopy(10*upstreamsReadPeriod) < bound)
	})
}

// TestNodeFarDownTheOrderPushesWhereNobodyElseDoes checks that changes reach all nodes although only the last ones in the order of
// readers reach the store.
func TestNodeFarDownTheOrderPushesWhereNobodyElseDoes(t *testing.T) {
	const nodes = 14
	runLateSite(t, nodes, 10*time.Millisecond, func(s *site, upstreams *fakeTopic, _ *atomic.Int64, cut *atomic.Bool) {
		is := is.New(t)
		cut.Store(true)
		upstreams.put("u1", "draining")
		time.Sleep(2 * bound)
		for _, node := range s.services {
			u1, known := node.Table.Load().Replica("u1")
			is.True(!known || u1.Leaving())
		}
	})
}
