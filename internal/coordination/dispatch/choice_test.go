package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
)

var (
	begin = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)
	plain = Request{Pool: "p"}
)

func rowOf(name, pool string) wire.Machine {
	return wire.Machine{
		Name:    name,
		Kind:    replica.KindEngine,
		Pool:    pool,
		Address: "a",
		Slots:   64,
	}
}

// newDispatcher returns one node's dispatcher before a pool of engines.
func newDispatcher(engines int) *Dispatcher {
	table := replica.NewTable()
	var rows []wire.Machine
	for i := range engines {
		rows = append(rows, rowOf(fmt.Sprintf("e%d", i), "p"))
	}
	table.Update(rows)
	return &Dispatcher{
		Table: table,
		Nodes: func() int { return 8 },
		Pool:  func(string) (route.Pool, bool) { return route.Pool{Engine: &route.Engine{}}, true },
	}
}

func promptOf(shared, own uint64) prompt.Prompt {
	return prompt.Prompt{
		{
			ID:     shared,
			Tokens: 13300,
		},
		{
			ID:     own,
			Tokens: 3720,
		},
	}
}

func TestAnUpstreamThatCannotBeReachedIsLeftAloneAndTriedAgain(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	bad := node.Choose(plain, 0, begin).Replica
	node.Unreachable(bad, begin)
	for i := range uint64(20) {
		is.True(node.Choose(plain, i, begin).Replica != bad)
	}
	later := begin.Add(avoidFirst)
	chosen := map[string]bool{}
	for i := range uint64(100) {
		chosen[node.Choose(plain, i, later).Replica.Name()] = true
	}
	is.True(chosen[bad.Name()])
}

func TestAllUnreachableIsNoReasonToSendNowhere(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	for _, r := range node.Table.Load().PoolReplicas("p") {
		node.Unreachable(r, begin)
	}
	is.True(node.Choose(plain, 0, begin).Replica != nil)
}

func TestAFailingUpstreamGetsLessAndIsForgiven(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	bad := node.Table.Load().PoolReplicas("p")[0]
	for range 4 {
		node.Failed(bad, begin)
	}
	for i := range uint64(20) {
		is.True(node.Choose(plain, i, begin).Replica != bad)
	}
	forgiven := false
	for i := range uint64(100) {
		forgiven = forgiven || node.Choose(plain, i, begin.Add(time.Hour)).Replica == bad
	}
	is.True(forgiven)
}

// TestASlowUpstreamIsNoticedThoughPromptsAreUncached has an upstream take three times the predicted time. The comparison
// with the cost of the choice, which holds ten times the reading of the prompt, never noticed.
func TestASlowUpstreamIsNoticedThoughPromptsAreUncached(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	now := begin
	slow := node.Choose(Request{
		Pool:   "p",
		Prompt: promptOf(1, 2),
	}, 0, now).Replica
	for i := range uint64(12) {
		request := Request{
			Pool:   "p",
			Prompt: promptOf(1, 100+i),
		}
		choice := node.Choose(request, 0, now)
		place := node.Begin(choice.Replica, request.Prompt, choice, 0, now)
		took := choice.Predicted
		if choice.Replica == slow {
			took *= 3
		}
		now = now.Add(took)
		place.FirstEvent(now)
		place.End(now)
	}
	is.True(node.states[slow].health.slowness(now) > 1.5)
}

// TestOneHomeForASharedPart has two nodes that never spoke choose the same upstream for prompts that share a part.
func TestOneHomeForASharedPart(t *testing.T) {
	is := is.New(t)
	one, other := newDispatcher(9), newDispatcher(9)
	for shared := range uint64(20) {
		request := Request{
			Pool:   "p",
			Prompt: promptOf(shared, 1000),
		}
		is.Equal(one.Choose(request, 1, begin).Replica.Name(), other.Choose(request, 2, begin).Replica.Name())
	}
}

func TestPeersThatFellSilentNoLongerCount(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	request := Request{
		Pool:   "p",
		Prompt: promptOf(1, 2),
	}
	home := node.Choose(request, 0, begin).Replica
	node.ReceiveDigest("peer", Digest{Loads: map[string]Load{home.Name(): {Waiting: 10_000_000}}}, begin)
	is.True(node.Choose(request, 0, begin).Replica != home)
	is.Equal(node.Choose(request, 0, begin.Add(peerLife)).Replica, home)
}

// TestPartsThatAreExpectedGoneAreNotRemembered sends prompts whose own parts never come again, for ten lives of a part.
func TestPartsThatAreExpectedGoneAreNotRemembered(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	upstream := node.Table.Load().PoolReplicas("p")[0]
	const each = 100 * time.Millisecond
	now := begin
	for i := range uint64(10 * partLife / each) {
		now = now.Add(each)
		place := node.Begin(upstream, prompt.Prompt{
			{
				ID:     i,
				Tokens: 1,
			},
		}, Choice{}, 0, now)
		place.End(now)
	}
	is.True(len(node.parts.sent) <= int(2*partLife/each)) // those of one life, and those since the last look
}

// TestAnUpstreamOfAnotherPoolIsNeverChosen has a prompt's parts kept at an engine of the pool that its route's other share goes
// to.
func TestAnUpstreamOfAnotherPoolIsNeverChosen(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	rows := []wire.Machine{rowOf("other", "q")}
	for _, r := range node.Table.Load().PoolReplicas("p") {
		rows = append(rows, rowOf(r.Name(), "p"))
	}
	node.Table.Update(rows)
	kept := promptOf(1, 2)
	choice := node.Choose(Request{
		Pool:   "q",
		Prompt: kept,
	}, 0, begin)
	is.Equal(choice.Replica.Name(), "other")
	node.Begin(choice.Replica, kept, choice, 0, begin).End(begin)
	for i := range uint64(20) {
		is.True(node.Choose(Request{
			Pool:   "p",
			Prompt: kept,
		}, i, begin).Replica.Name() != "other")
	}
}

// TestAnUpstreamThatIsGoneIsNeverChosen has the table change before what was known of the upstream is forgotten.
func TestAnUpstreamThatIsGoneIsNeverChosen(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	request := Request{
		Pool:   "p",
		Prompt: promptOf(1, 2),
	}
	choice := node.Choose(request, 0, begin)
	node.Begin(choice.Replica, request.Prompt, choice, 0, begin).End(begin)
	var rest []wire.Machine
	for _, r := range node.Table.Load().PoolReplicas("p") {
		if r != choice.Replica {
			rest = append(rest, rowOf(r.Name(), "p"))
		}
	}
	node.Table.Update(rest)
	is.True(node.Choose(request, 0, begin).Replica != choice.Replica)
}
