package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// countChoices returns how often each upstream is chosen for 100 plain requests.
func countChoices(node *Dispatcher, now time.Time) map[string]int {
	chosen := map[string]int{}
	for i := range uint64(100) {
		chosen[node.Choose(plainRequest, i, now).Replica.Name()]++
	}
	return chosen
}

func TestTwoConsecutiveRefusalsStartBackoff(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	bad := node.Table.Load().PoolReplicas("p")[0]
	node.Refused(bad, start)
	is.True(!node.states[bad].backedOff(start)) // one refusal may be chance
	node.Refused(bad, start)
	is.True(node.states[bad].backedOff(start))
	is.True(!node.states[bad].backedOff(start.Add(refusalBackoffMin)))
	node.Succeeded(bad, 0, start.Add(refusalBackoffMin))
	node.Refused(bad, start.Add(refusalBackoffMin))
	is.True(!node.states[bad].backedOff(start.Add(refusalBackoffMin))) // the success reset the count
}

func TestOneRequestProbesAfterBackoff(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	bad := node.Table.Load().PoolReplicas("p")[0]
	node.Unreachable(bad, start)
	later := start.Add(connectBackoffMin)
	is.True(countChoices(node, later)[bad.Name()] > 0)
	probe := node.Begin(bad, Request{}, Choice{}, later)
	is.Equal(countChoices(node, later)[bad.Name()], 0)
	probe.End(later)
	is.True(countChoices(node, later.Add(probeTime))[bad.Name()] > 0) // the probe ended without a result
}

func TestUpstreamThatPeersReportDownIsAvoided(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	bad := node.Table.Load().PoolReplicas("p")[0]
	down := Digest{Loads: map[string]Load{bad.Name(): {Down: 1}}}
	node.ReceiveDigest("a", down, start)
	is.True(countChoices(node, start)[bad.Name()] > 0) // one peer may be cut off from it alone
	node.ReceiveDigest("b", down, start)
	is.Equal(countChoices(node, start)[bad.Name()], 0)
	node.Succeeded(bad, 0, start)
	is.True(countChoices(node, start)[bad.Name()] > 0) // this node's own success takes precedence
	is.Equal(countChoices(node, start.Add(ownSuccessLifetime))[bad.Name()], 0)
	node.ReceiveDigest("a", Digest{}, start.Add(ownSuccessLifetime))
	is.True(countChoices(node, start.Add(ownSuccessLifetime))[bad.Name()] > 0)
}

func TestOnlyOwnObservationsAreAdvertised(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	upstreams := node.Table.Load().PoolReplicas("p")
	digest := Digest{Loads: map[string]Load{upstreams[0].Name(): {Down: 1}}}
	node.ReceiveDigest("a", digest, start)
	node.ReceiveDigest("b", digest, start)
	node.Unreachable(upstreams[1], start)
	advertised := node.Advertise(start).Loads
	is.Equal(advertised[upstreams[0].Name()].Down, 0) // otherwise nodes would keep repeating each other's reports
	is.Equal(advertised[upstreams[1].Name()].Down, 1)
}
