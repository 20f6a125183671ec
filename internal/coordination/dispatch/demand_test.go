package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/route"
)

// newScaledNode returns a dispatcher of a site with requests in flight, in a pool with scaling.
func newScaledNode(nodes, requests int) *Dispatcher {
	node := newBusyDispatcher(nodes, 0)
	node.CountRequests = true
	node.Pool = func(string) (route.Pool, bool) {
		return route.Pool{
			Engine:  &route.Engine{Slots: 64},
			Scaling: &route.Scaling{Max: 30},
		}, true
	}
	for i := range requests {
		node.Begin(node.Table.Load().PoolReplicas("p")[0], Request{Prompt: newPrompt(1, uint64(100+i))}, Choice{Uncached: 1000}, start)
	}
	return node
}

// TestPoolDemandIsThatOfTheWholeSite guards against a demand that counts a part of a large site, where a node gets a relay's
// sum in place of the digests of the others, or that counts some nodes twice.
func TestPoolDemandIsThatOfTheWholeSite(t *testing.T) {
	is := is.New(t)
	const zones, nodesPerZone = 6, 50
	now := start.Add(2 * minObservation)
	var site [zones][nodesPerZone]*Dispatcher
	requests, engines, backlog := 0, 0.0, time.Duration(0)
	for zone := range site {
		for i := range site[zone] {
			n := 1 + (zone+i)%5
			node := newScaledNode(zones*nodesPerZone, n)
			site[zone][i] = node
			requests += n
			engines += node.PoolDemand("p", now).Engines.Bulk
			backlog += node.PoolDemand("p", now).Backlog
		}
	}
	for range 2 {
		for zone, nodes := range site {
			relay := nodes[0]
			for i, node := range nodes[1:] {
				own := node.Advertise(now)
				relay.ReceiveDigest(fmt.Sprint(zone, i), own, now)
				node.ReceiveSiteDigest(relay.SiteSum(now), own, now)
			}
			for otherZone, otherNodes := range site {
				if otherZone != zone {
					otherNodes[0].ReceiveZoneDigest(fmt.Sprint(zone), relay.ZoneSum(now), now)
				}
			}
		}
	}
	for zone := range site {
		for _, node := range site[zone] {
			demand := node.PoolDemand("p", now)
			is.Equal(demand.KnownShare, 1.0)
			is.Equal(demand.Requests, float64(requests))
			is.Equal(demand.Tokens, float64(requests*newPrompt(1, 2).Tokens()))
			is.True(engines > 0)
			is.True(math.Abs(demand.Engines.Bulk-engines) < 1e-6*engines)
			is.True((demand.Backlog - backlog).Abs() < time.Millisecond)
		}
	}
}

// TestPoolDemandOfAPartIsExtrapolated guards against a demand that falls when digests are missing, and against trust in
// one that a few nodes are taken for the site.
func TestPoolDemandOfAPartIsExtrapolated(t *testing.T) {
	is := is.New(t)
	node, now := newScaledNode(11, 4), start.Add(2*minObservation)
	for i := range 5 {
		node.ReceiveDigest(fmt.Sprint(i), newScaledNode(11, 4).Advertise(now), now)
	}
	demand := node.PoolDemand("p", now)
	is.Equal(demand.Requests, 44.0)
	is.Equal(demand.KnownShare, 6.0/11)
	demand = node.PoolDemand("p", now.Add(peerDigestLifetime))
	is.Equal(demand.Requests, 4.0)
	is.Equal(demand.KnownShare, 1.0/11)
}

// TestRefusedRequestsAreCounted guards against a demand that leaves out the requests that no upstream had room for, and one
// that counts those that more upstreams would not help.
func TestRefusedRequestsAreCounted(t *testing.T) {
	is := is.New(t)
	node, now := newScaledNode(2, 0), start
	node.ReceiveDigest("other", newScaledNode(2, 6).Advertise(now), now)
	is.Equal(node.PoolDemand("p", now).RefusedShare, 0.0)
	for _, upstream := range node.Table.Load().PoolReplicas("p") {
		upstream.MarkLeaving()
	}
	for _, request := range []Request{
		{},
		{Bound: true},
		{Exclude: []string{"e1"}},
		{},
	} {
		request.Pool = "p"
		is.True(node.Choose(request, 0, now).Replica == nil)
	}
	is.Equal(node.PoolDemand("p", now).RefusedShare, 0.25) // 2 of 8
}
