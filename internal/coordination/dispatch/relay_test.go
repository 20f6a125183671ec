package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// busy returns a dispatcher with so many prompts waiting at its first upstream.
func busy(nodes, prompts int) *Dispatcher {
	node := newDispatcher(3)
	node.Nodes = func() int { return nodes }
	upstream := node.Table.Load().PoolReplicas("p")[0]
	for i := range prompts {
		node.Begin(upstream, promptOf(1, uint64(100+i)), Choice{Uncached: 1000 - startTokens}, 0, begin)
	}
	return node
}

// TestEveryNodeKnowsTheWholeSiteThroughRelays has two zones of three nodes, the first of each its relay.
func TestEveryNodeKnowsTheWholeSiteThroughRelays(t *testing.T) {
	is := is.New(t)
	const zones, each = 2, 3
	var site [zones][each]*Dispatcher
	total := 0
	for zone := range site {
		for i := range site[zone] {
			prompts := 1 + zone*each + i
			total += prompts * 1000
			site[zone][i] = busy(zones*each, prompts)
		}
	}
	for range 2 {
		for zone, nodes := range site {
			relay := nodes[0]
			for i, node := range nodes[1:] {
				relay.ReceiveDigest(fmt.Sprint(zone, i), node.Advertise(begin), begin)
				node.ReceiveSiteDigest(relay.SiteSum(begin), begin)
			}
			for other, there := range site {
				if other != zone {
					there[0].ReceiveZoneDigest(fmt.Sprint(zone), relay.ZoneSum(begin), begin)
				}
			}
		}
	}
	for zone := range site {
		for i, node := range site[zone] {
			name := node.Table.Load().PoolReplicas("p")[0].Name()
			own := node.Advertise(begin).Loads[name].Waiting
			is.Equal(own+node.heardAt(name).Waiting, total) // neither its own load twice nor another's
			is.Equal(node.dropSilent(begin), 1.0)
			is.Equal(node.SiteSum(begin).nodes() >= each, i == 0) // relays alone sum up
		}
	}
}

func TestARelayThatFellSilentNoLongerCounts(t *testing.T) {
	is := is.New(t)
	node, relay := busy(20, 0), busy(20, 4)
	relay.ReceiveDigest("other", busy(20, 2).Advertise(begin), begin)
	node.ReceiveSiteDigest(relay.SiteSum(begin), begin)
	name := node.Table.Load().PoolReplicas("p")[0].Name()
	is.Equal(node.heardAt(name).Waiting, 6000)
	is.True(node.dropSilent(begin) > 1) // two nodes stand for nineteen
	node.dropSilent(begin.Add(peerLife))
	is.Equal(*node.heardAt(name), Load{})
}

func TestANodeThatBecomesARelayForgetsTheSumItWasTold(t *testing.T) {
	is := is.New(t)
	node := busy(20, 0)
	name := node.Table.Load().PoolReplicas("p")[0].Name()
	node.ReceiveSiteDigest(busy(20, 3).SiteSum(begin), begin)
	node.ReceiveDigest("other", busy(20, 1).Advertise(begin), begin)
	is.Equal(node.heardAt(name).Waiting, 1000)
}

// TestSumsOfDifferentTimesNeverFallBelowZero has a node whose load grew since the relay was told.
func TestSumsOfDifferentTimesNeverFallBelowZero(t *testing.T) {
	is := is.New(t)
	node, relay := busy(20, 1), busy(20, 0)
	relay.ReceiveDigest("node", node.Advertise(begin), begin)
	sum := relay.SiteSum(begin)
	for range 3 {
		node.Begin(node.Table.Load().PoolReplicas("p")[0], promptOf(1, 2), Choice{}, 0, begin)
	}
	node.Advertise(begin)
	node.ReceiveSiteDigest(sum, begin.Add(time.Millisecond))
	is.Equal(node.heardAt(node.Table.Load().PoolReplicas("p")[0].Name()).Waiting, 0)
}
