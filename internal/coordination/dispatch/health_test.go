package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// choices returns how often each upstream is chosen for plain requests.
func choices(node *Dispatcher, now time.Time) map[string]int {
	chosen := map[string]int{}
	for i := range uint64(100) {
		chosen[node.Choose(plain, i, now).Replica.Name()]++
	}
	return chosen
}

func TestAnUpstreamThatRefusesTwiceIsLeftAloneForAMoment(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	bad := node.Table.Load().PoolReplicas("p")[0]
	node.Refused(bad, begin)
	is.True(!node.states[bad].avoids(begin)) // one refusal may be chance
	node.Refused(bad, begin)
	is.True(node.states[bad].avoids(begin))
	is.True(!node.states[bad].avoids(begin.Add(shedFirst)))
	node.Succeeded(bad, 0, begin.Add(shedFirst))
	node.Refused(bad, begin.Add(shedFirst))
	is.True(!node.states[bad].avoids(begin.Add(shedFirst))) // the success ended the row
}

func TestOneRequestTriesAnUpstreamForAll(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	bad := node.Table.Load().PoolReplicas("p")[0]
	node.Unreachable(bad, begin)
	later := begin.Add(avoidFirst)
	is.True(choices(node, later)[bad.Name()] > 0)
	trial := node.Begin(bad, nil, Choice{}, 0, later)
	is.Equal(choices(node, later)[bad.Name()], 0)
	trial.End(later)
	is.True(choices(node, later.Add(trialTime))[bad.Name()] > 0) // the trial's end was never heard of
}

func TestWhatPeersFindDownIsLeftAlone(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	bad := node.Table.Load().PoolReplicas("p")[0]
	down := Digest{Loads: map[string]Load{bad.Name(): {Down: 1}}}
	node.ReceiveDigest("a", down, begin)
	is.True(choices(node, begin)[bad.Name()] > 0) // one peer may be cut off from it alone
	node.ReceiveDigest("b", down, begin)
	is.Equal(choices(node, begin)[bad.Name()], 0)
	node.Succeeded(bad, 0, begin)
	is.True(choices(node, begin)[bad.Name()] > 0) // what this node saw itself counts more
	is.Equal(choices(node, begin.Add(provenFor))[bad.Name()], 0)
	node.ReceiveDigest("a", Digest{}, begin.Add(provenFor))
	is.True(choices(node, begin.Add(provenFor))[bad.Name()] > 0)
}

func TestOnlyOwnEvidenceIsTold(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	upstreams := node.Table.Load().PoolReplicas("p")
	heard := Digest{Loads: map[string]Load{upstreams[0].Name(): {Down: 1}}}
	node.ReceiveDigest("a", heard, begin)
	node.ReceiveDigest("b", heard, begin)
	node.Unreachable(upstreams[1], begin)
	told := node.Advertise(begin).Loads
	is.Equal(told[upstreams[0].Name()].Down, 0) // or a rumour would keep itself alive
	is.Equal(told[upstreams[1].Name()].Down, 1)
}
