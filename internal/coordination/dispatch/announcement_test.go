package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPausedUpstreamIsNotChosenEvenIfTheOthersFail(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	upstreams := node.Table.Load().PoolReplicas("p")
	node.Pause(upstreams[0], 5*time.Second, start)
	node.Pause(upstreams[0], time.Second, start) // a shorter wish does not shorten the longer one
	node.Unreachable(upstreams[1], start)
	is.Equal(countChoices(node, start)[upstreams[0].Name()], 0)
	end := start.Add(5 * time.Second)
	is.Equal(countChoices(node, end.Add(-time.Millisecond))[upstreams[0].Name()], 0)
	is.True(countChoices(node, end)[upstreams[0].Name()] > 0)
}

func TestPoolThatIsPausedAsAWholeSaysWhenItMayBeUsed(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(3)
	upstreams := node.Table.Load().PoolReplicas("p")
	node.Pause(upstreams[0], 5*time.Second, start)
	node.Pause(upstreams[1], 3*time.Second, start)
	upstreams[2].MarkLeaving()
	choice := node.Choose(plainRequest, 1, start)
	is.True(choice.Replica == nil)
	is.Equal(choice.RetryAt, start.Add(3*time.Second))
	is.Equal(node.Choose(plainRequest, 1, start.Add(3*time.Second)).Replica, upstreams[1])
}

func TestPausesAreBounded(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(1)
	upstream := node.Table.Load().PoolReplicas("p")[0]
	node.Pause(upstream, time.Hour, start)
	is.Equal(node.Choose(plainRequest, 1, start.Add(maxPauseOnRequest)).Replica, upstream)
}

// TestPeersLearnOfPauses checks that a pause counts among the peers as one report of an upstream that is down: for the
// choice, not as a ban.
func TestPeersLearnOfPauses(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	upstream := node.Table.Load().PoolReplicas("p")[0]
	node.Pause(upstream, time.Second, start)
	is.Equal(node.Advertise(start).Loads[upstream.Name()].Down, 1)
	is.Equal(node.Advertise(start.Add(time.Second)).Loads[upstream.Name()].Down, 0)
}

// TestAllNodesLearnThatAnUpstreamLeaves passes what one node heard through the relays of two zones.
func TestAllNodesLearnThatAnUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	heard, relay, otherRelay, far := newDispatcher(2), newDispatcher(2), newDispatcher(2), newDispatcher(2)
	name := heard.Table.Load().PoolReplicas("p")[0].Name()
	is.True(heard.SaidLeaving(heard.Lookup(name)))
	is.True(!heard.SaidLeaving(heard.Lookup(name)))
	relay.ReceiveDigest("heard", heard.Advertise(start), start)
	otherRelay.ReceiveZoneDigest("zone", relay.ZoneSum(start), start)
	far.ReceiveSiteDigest(otherRelay.SiteSum(start), far.Advertise(start), start)
	for _, node := range []*Dispatcher{heard, relay, otherRelay, far} {
		is.Equal(countChoices(node, start)[name], 0)
	}
}

func TestAnotherBootIsNotLeaving(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	upstream := node.Table.Load().PoolReplicas("p")[0]
	node.ReceiveDigest("peer", Digest{Leaving: map[string]int{upstream.Name(): upstream.Boot() + 1}}, start)
	is.True(!upstream.Leaving())
}
