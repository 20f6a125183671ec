package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/protocol/wire"
)

// TestPromptsHaveOneOtherHomeWhileTheirsIsLimited guards against requests with the same shared parts being spread over all
// engines, each of which reads the parts again, while the engine that has cached them takes few requests.
func TestPromptsHaveOneOtherHomeWhileTheirsIsLimited(t *testing.T) {
	is := is.New(t)
	nodes := []*Dispatcher{newDispatcher(8), newDispatcher(8), newDispatcher(8)}
	choose := func(node *Dispatcher, own uint64, now time.Time) string {
		request := Request{
			Pool:   "p",
			Prompt: newPrompt(7, own),
		}
		choice := node.Choose(request, own, now)
		node.Begin(choice.Replica, request, choice, now).End(now)
		return choice.Replica.Name()
	}
	home := choose(nodes[0], 1, start)
	nodes[0].Limited(nodes[0].Lookup(home), 1, start, start)
	for i, node := range nodes[1:] {
		node.ReceiveDigest("0", nodes[0].Advertise(start), start)
		is.Equal(node.LimitedUpstreams(), 1)
		is.True(choose(node, uint64(i), start) != home)
	}
	others := map[string]bool{}
	for i := range uint64(30) {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		others[choose(nodes[i%3], 100+i, now)] = true
	}
	is.Equal(len(others), 1)
	is.True(!others[home])
	for _, s := range nodes[0].Table.Load().PoolReplicas("p") {
		if s.Name() != home {
			nodes[0].Unreachable(s, start)
		}
	}
	is.Equal(choose(nodes[0], 9, start), home) // it is still used when the others are down
}

// TestLimitsPassThroughRelaysAndEndWithTheBoot guards against nodes of other zones that don't learn of a limit, and against
// the limit of an upstream that has started again since.
func TestLimitsPassThroughRelaysAndEndWithTheBoot(t *testing.T) {
	is := is.New(t)
	node, relay, otherRelay, otherNode := newDispatcher(3), newDispatcher(3), newDispatcher(3), newDispatcher(3)
	upstream := node.Table.Load().PoolReplicas("p")[0]
	is.True(node.Limited(upstream, 2, start, start))
	relay.ReceiveDigest("node", node.Advertise(start), start)
	otherRelay.ReceiveZoneDigest("zone", relay.ZoneSum(start), start)
	otherNode.ReceiveSiteDigest(otherRelay.SiteSum(start), otherNode.Advertise(start), start)
	permit := otherNode.TakePermit(otherNode.Lookup(upstream.Name()), time.Second, start)
	is.True(permit.Limited)
	is.True(!permit.Granted)
	later := ratelimit.Upstream{
		Name: upstream.Name(),
		Boot: upstream.Boot() + 1,
	}
	is.Equal(otherNode.GrantPermit(ratelimit.Report{
		Upstream: later,
		Limit:    1,
	}, ratelimit.Place{Upstream: later}, start), ratelimit.Grant{Wait: unknownWait})
	row := newMachine(upstream.Name(), "p")
	row.Boot = upstream.Boot() + 1
	node.Table.Update([]wire.Machine{row})
	node.Prune()
	is.Equal(node.LimitedUpstreams(), 0)
	is.True(node.TakePermit(node.Lookup(upstream.Name()), time.Second, start).Granted)
}
