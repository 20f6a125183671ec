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
	start        = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)
	plainRequest = Request{Pool: "p"}
)

func newMachine(name, pool string) wire.Machine {
	return wire.Machine{
		Name:    name,
		Kind:    replica.KindEngine,
		Pool:    pool,
		Address: "a",
		Slots:   64,
	}
}

// newDispatcher returns the dispatcher of one node for a pool of engines.
func newDispatcher(engines int) *Dispatcher {
	table := replica.NewTable()
	var rows []wire.Machine
	for i := range engines {
		rows = append(rows, newMachine(fmt.Sprintf("e%d", i), "p"))
	}
	table.Update(rows)
	return &Dispatcher{
		Table: table,
		Nodes: func() int { return 8 },
		Pool:  func(string) (route.Pool, bool) { return route.Pool{Engine: &route.Engine{}}, true },
	}
}

func newPrompt(shared, own uint64) prompt.Prompt {
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

func TestUnreachableUpstreamIsRetriedAfterBackoff(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	bad := node.Choose(plainRequest, 0, start).Replica
	node.Unreachable(bad, start)
	for i := range uint64(20) {
		is.True(node.Choose(plainRequest, i, start).Replica != bad)
	}
	later := start.Add(connectBackoffMin)
	chosen := map[string]bool{}
	for i := range uint64(100) {
		chosen[node.Choose(plainRequest, i, later).Replica.Name()] = true
	}
	is.True(chosen[bad.Name()])
}

func TestUpstreamIsChosenWhenAllAreUnreachable(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	for _, r := range node.Table.Load().PoolReplicas("p") {
		node.Unreachable(r, start)
	}
	is.True(node.Choose(plainRequest, 0, start).Replica != nil)
}

func TestFailingUpstreamIsAvoidedUntilFailuresDecay(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	bad := node.Table.Load().PoolReplicas("p")[0]
	for range 4 {
		node.Failed(bad, start)
	}
	for i := range uint64(20) {
		is.True(node.Choose(plainRequest, i, start).Replica != bad)
	}
	chosenAgain := false
	for i := range uint64(100) {
		chosenAgain = chosenAgain || node.Choose(plainRequest, i, start.Add(time.Hour)).Replica == bad
	}
	is.True(chosenAgain)
}

// TestSlowUpstreamIsDetectedWithUncachedPrompts has an upstream take three times the predicted time. Slowness has to
// be relative to Choice.Predicted: Choice.Cost, which included ten times the prefill time of the prompt, hid it.
func TestSlowUpstreamIsDetectedWithUncachedPrompts(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	now := start
	slow := node.Choose(Request{
		Pool:   "p",
		Prompt: newPrompt(1, 2),
	}, 0, now).Replica
	for i := range uint64(12) {
		request := Request{
			Pool:   "p",
			Prompt: newPrompt(1, 100+i),
		}
		choice := node.Choose(request, 0, now)
		assignment := node.Begin(choice.Replica, request, choice, now)
		took := choice.Predicted
		if choice.Replica == slow {
			took *= 3
		}
		now = now.Add(took)
		assignment.Events(1, now)
		assignment.End(now)
	}
	is.True(node.states[slow].health.slowness(now) > 1.5)
}

// TestNodesChooseSameHomeForSharedPart checks that two nodes without any communication choose the same upstream for
// prompts that share a part.
func TestNodesChooseSameHomeForSharedPart(t *testing.T) {
	is := is.New(t)
	first, second := newDispatcher(9), newDispatcher(9)
	for shared := range uint64(20) {
		request := Request{
			Pool:   "p",
			Prompt: newPrompt(shared, 1000),
		}
		is.Equal(first.Choose(request, 1, start).Replica.Name(), second.Choose(request, 2, start).Replica.Name())
	}
}

func TestDigestsOfSilentPeersExpire(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	request := Request{
		Pool:   "p",
		Prompt: newPrompt(1, 2),
	}
	home := node.Choose(request, 0, start).Replica
	node.ReceiveDigest("peer", Digest{Loads: map[string]Load{home.Name(): {Waiting: 10_000_000}}}, start)
	is.True(node.Choose(request, 0, start).Replica != home)
	is.Equal(node.Choose(request, 0, start.Add(peerDigestLifetime)).Replica, home)
}

// TestExpiredPartsAreRemoved sends prompts whose parts never occur again, for ten part lifetimes.
func TestExpiredPartsAreRemoved(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(9)
	upstream := node.Table.Load().PoolReplicas("p")[0]
	const interval = 100 * time.Millisecond
	now := start
	for i := range uint64(10 * partLifetime / interval) {
		now = now.Add(interval)
		request := Request{Prompt: prompt.Prompt{
			{
				ID:     i,
				Tokens: 1,
			},
		}}
		assignment := node.Begin(upstream, request, Choice{}, now)
		assignment.End(now)
	}
	// The index holds the parts of one lifetime, and the expired ones since the last sweep.
	is.True(len(node.parts.sentAt) <= int(2*partLifetime/interval))
}

// TestUpstreamOfAnotherPoolIsNeverChosen has the parts of a prompt cached at an engine of another pool, as happens
// when a route splits its traffic between two pools.
func TestUpstreamOfAnotherPoolIsNeverChosen(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	rows := []wire.Machine{newMachine("other", "q")}
	for _, r := range node.Table.Load().PoolReplicas("p") {
		rows = append(rows, newMachine(r.Name(), "p"))
	}
	node.Table.Update(rows)
	cachedPrompt := newPrompt(1, 2)
	choice := node.Choose(Request{
		Pool:   "q",
		Prompt: cachedPrompt,
	}, 0, start)
	is.Equal(choice.Replica.Name(), "other")
	node.Begin(choice.Replica, Request{Prompt: cachedPrompt}, choice, start).End(start)
	for i := range uint64(20) {
		is.True(node.Choose(Request{
			Pool:   "p",
			Prompt: cachedPrompt,
		}, i, start).Replica.Name() != "other")
	}
}

// TestRemovedUpstreamIsNeverChosen removes an upstream from the table without a call of Prune, so that its state is
// still there.
func TestRemovedUpstreamIsNeverChosen(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(2)
	request := Request{
		Pool:   "p",
		Prompt: newPrompt(1, 2),
	}
	choice := node.Choose(request, 0, start)
	node.Begin(choice.Replica, request, choice, start).End(start)
	var rest []wire.Machine
	for _, r := range node.Table.Load().PoolReplicas("p") {
		if r != choice.Replica {
			rest = append(rest, newMachine(r.Name(), "p"))
		}
	}
	node.Table.Update(rest)
	is.True(node.Choose(request, 0, start).Replica != choice.Replica)
}
