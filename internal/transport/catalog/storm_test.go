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

// cutTopic is a topic of a store that a node loses.
type cutTopic struct {
	*fakeTopic
	cut *atomic.Bool
}

func (c cutTopic) Newest(ctx context.Context) (Batch, error) {
	if c.cut.Load() {
		return Batch{}, errStoreUnavailable
	}
	return c.fakeTopic.Newest(ctx)
}

func (c cutTopic) Read(ctx context.Context, from int, wait time.Duration) (Batch, error) {
	if c.cut.Load() {
		return Batch{}, errStoreUnavailable
	}
	return c.fakeTopic.Read(ctx, from, wait)
}

// lateSite is a site of many nodes whose updates are late.
type lateSite struct {
	*site
	upstreams *fakeTopic
	// pushes counts the pushes of all nodes, and cut makes all but the last two lose the store.
	pushes atomic.Int64
	cut    atomic.Bool
}

// runLateSite runs a test against a site that has run for 10 s.
func runLateSite(t *testing.T, nodes int, delay time.Duration, test func(s *lateSite)) {
	synctest.Test(t, func(*testing.T) {
		routes, upstreams := newTopic(), newTopic()
		routes.put("config", "1")
		upstreams.put("u1", "ready")
		s := &lateSite{
			site:      newSite(),
			upstreams: upstreams,
		}
		for i := range nodes {
			node := newNode(latePeers{
				sitePeers: sitePeers{
					site: s.site,
					self: i,
				},
				delay:  delay,
				pushes: &s.pushes,
			}, routes, upstreams)
			if i < nodes-2 {
				node.Routes = cutTopic{
					fakeTopic: routes,
					cut:       &s.cut,
				}
				node.Upstreams = cutTopic{
					fakeTopic: upstreams,
					cut:       &s.cut,
				}
			}
			node.Prepare()
			s.services = append(s.services, node)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for _, node := range s.services {
			group.Go(func() { node.Run(ctx) })
		}
		defer group.Wait()
		defer cancel()
		time.Sleep(10 * time.Second)
		test(s)
	})
}

// TestLateUpdatesCauseNoStorm guards against every node of a large site reading the store and pushing what it read to all others
// once updates were late, which made them later.
func TestLateUpdatesCauseNoStorm(t *testing.T) {
	const nodes, periods = 60, 10
	runLateSite(t, nodes, 1200*time.Millisecond, func(s *lateSite) {
		is := is.New(t)
		before := s.pushes.Load()
		time.Sleep(periods * upstreamsReadPeriod)
		is.True(s.pushes.Load()-before <= 2*10*periods) // those of ten of the nodes, of two topics
	})
}

// TestNodeFarDownTheOrderPushesWhereNobodyElseDoes checks that changes reach all nodes although only the last ones in the order of
// readers reach the store.
func TestNodeFarDownTheOrderPushesWhereNobodyElseDoes(t *testing.T) {
	const nodes = 14
	runLateSite(t, nodes, 10*time.Millisecond, func(s *lateSite) {
		is := is.New(t)
		s.cut.Store(true)
		s.upstreams.put("u1", "draining")
		time.Sleep(2 * bound)
		for _, node := range s.services {
			u1, known := node.Table.Load().Replica("u1")
			is.True(!known || u1.Leaving())
		}
	})
}
