package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/calibration"
)

// newBusyDispatcher returns a dispatcher with prompts of 1000 tokens waiting at its first upstream.
func newBusyDispatcher(nodes, prompts int) *Dispatcher {
	node := newDispatcher(3)
	node.Nodes = func() int { return nodes }
	upstream := node.Table.Load().PoolReplicas("p")[0]
	queueDelay := calibration.Evidence{}.Profile().QueueDelayTokens()
	for i := range prompts {
		node.Begin(upstream, Request{Prompt: newPrompt(1, uint64(100+i))}, Choice{Uncached: 1000 - queueDelay}, start)
	}
	return node
}

// TestRelaysDistributeLoadOfWholeSite has two zones of three nodes; the first node of each zone is its relay.
func TestRelaysDistributeLoadOfWholeSite(t *testing.T) {
	is := is.New(t)
	const zones, nodesPerZone = 2, 3
	var site [zones][nodesPerZone]*Dispatcher
	total := 0
	for zone := range site {
		for i := range site[zone] {
			prompts := 1 + zone*nodesPerZone + i
			total += prompts * 1000
			site[zone][i] = newBusyDispatcher(zones*nodesPerZone, prompts)
		}
	}
	for range 2 {
		for zone, nodes := range site {
			relay := nodes[0]
			for i, node := range nodes[1:] {
				own := node.Advertise(start)
				relay.ReceiveDigest(fmt.Sprint(zone, i), own, start)
				node.ReceiveSiteDigest(relay.SiteSum(start), own, start)
			}
			for otherZone, otherNodes := range site {
				if otherZone != zone {
					otherNodes[0].ReceiveZoneDigest(fmt.Sprint(zone), relay.ZoneSum(start), start)
				}
			}
		}
	}
	for zone := range site {
		for i, node := range site[zone] {
			name := node.Table.Load().PoolReplicas("p")[0].Name()
			own := node.Advertise(start).Loads[name].Waiting
			is.Equal(own+node.peerLoad(name).Waiting, total) // no load is missing or counted twice
			is.Equal(node.expirePeers(start), 1.0)
			is.Equal(node.SiteSum(start).nodes() >= nodesPerZone, i == 0) // only relays know the sum of their zone
		}
	}
}

func TestDigestOfSilentRelayExpires(t *testing.T) {
	is := is.New(t)
	node, relay := newBusyDispatcher(20, 0), newBusyDispatcher(20, 4)
	relay.ReceiveDigest("other", newBusyDispatcher(20, 2).Advertise(start), start)
	node.ReceiveSiteDigest(relay.SiteSum(start), Digest{}, start)
	name := node.Table.Load().PoolReplicas("p")[0].Name()
	is.Equal(node.peerLoad(name).Waiting, 6000)
	is.True(node.expirePeers(start) > 1) // the sum does not cover all nineteen other nodes
	node.expirePeers(start.Add(peerDigestLifetime))
	is.Equal(*node.peerLoad(name), Load{})
}

func TestNewRelayDropsReceivedSiteSum(t *testing.T) {
	is := is.New(t)
	node := newBusyDispatcher(20, 0)
	name := node.Table.Load().PoolReplicas("p")[0].Name()
	node.ReceiveSiteDigest(newBusyDispatcher(20, 3).SiteSum(start), Digest{}, start)
	node.ReceiveDigest("other", newBusyDispatcher(20, 1).Advertise(start), start)
	is.Equal(node.peerLoad(name).Waiting, 1000)
}

// TestSumsOfDifferentTimesNeverFallBelowZero has a node whose load grew after it sent its digest to the relay.
func TestSumsOfDifferentTimesNeverFallBelowZero(t *testing.T) {
	is := is.New(t)
	node, relay := newBusyDispatcher(20, 1), newBusyDispatcher(20, 0)
	own := node.Advertise(start)
	relay.ReceiveDigest("node", own, start)
	sum := relay.SiteSum(start)
	for range 3 {
		node.Begin(node.Table.Load().PoolReplicas("p")[0], Request{Prompt: newPrompt(1, 2)}, Choice{}, start)
	}
	node.Advertise(start) // a later digest is not what the sum includes
	node.ReceiveSiteDigest(sum, own, start.Add(time.Millisecond))
	is.Equal(node.peerLoad(node.Table.Load().PoolReplicas("p")[0].Name()).Waiting, 0)
}
