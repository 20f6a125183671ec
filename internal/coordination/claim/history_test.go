package claim

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// atMostOnce is the sequential model of one key. At most one attempt gets Dispatch, NotRun leaves the state unchanged,
// and Unknown and Replay occur only after the key was claimed.
var atMostOnce = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		claimed := state.(bool)
		switch output.(Verdict) {
		case Dispatch:
			return !claimed, true
		case NotRun:
			return true, state
		case Unknown, Replay:
			return claimed, state
		}
		return false, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// Checks histories without voids, because the model has no transition that frees a claimed key.
func TestClaimHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bounds{
			submits:     2,
			lostAnswers: 3,
		}
		sim := newSimulation(3)
		submittedAt := map[string]int64{}
		decidedAt := map[string]int64{}
		verdicts := map[string]Verdict{}
		now := int64(0)
		for range rapid.IntRange(10, 90).Draw(t, "steps") {
			now++
			list := sim.transitions(b)
			if len(list) == 0 {
				break
			}
			list[rapid.IntRange(0, len(list)-1).Draw(t, "transition")].apply(sim)
			recordVerdicts(sim, now, submittedAt, decidedAt, verdicts)
		}
		var history []porcupine.Operation
		for id, verdict := range verdicts {
			history = append(history, porcupine.Operation{
				ClientId: len(history),
				Call:     submittedAt[id],
				Output:   verdict,
				Return:   decidedAt[id],
			})
		}
		// An attempt without a verdict may still hold the key.
		for id, at := range submittedAt {
			if _, known := verdicts[id]; !known && sim.holdsKey(id) {
				history = append(history, porcupine.Operation{
					ClientId: len(history),
					Call:     at,
					Output:   Dispatch,
					Return:   now + 1,
				})
			}
		}
		if !porcupine.CheckOperations(atMostOnce, history) {
			t.Fatalf("not linearizable: %+v", history)
		}
	})
}

// recordVerdicts stores when each attempt was submitted and decided, and its verdict.
func recordVerdicts(sim *simulation, now int64, submittedAt, decidedAt map[string]int64, verdicts map[string]Verdict) {
	for node, n := range sim.nodes {
		for number := 1; number <= n.submitted; number++ {
			id := fmt.Sprintf("node%d-%d", node, number)
			if _, known := submittedAt[id]; !known {
				submittedAt[id] = now
			}
			if verdict, known := sim.verdicts[id]; known && decidedAt[id] == 0 {
				decidedAt[id] = now
				verdicts[id] = verdict
			}
		}
	}
}

// holdsKey reports whether an attempt holds the key after all records of the log.
func (sim *simulation) holdsKey(id string) bool {
	fresh := newSimulation(1).nodes[0]
	for _, entry := range sim.log {
		fresh.claimer.ApplyRecord(entry, sim.now)
	}
	holder, held := fresh.claimer.Index.Holder(testKey)
	return held && holder.Attempt() == id
}

func TestModelRejectsTwoDispatches(t *testing.T) {
	var history []porcupine.Operation
	for i, verdict := range []Verdict{Dispatch, Dispatch} {
		history = append(history, porcupine.Operation{
			ClientId: i,
			Call:     1,
			Output:   verdict,
			Return:   2,
		})
	}
	if porcupine.CheckOperations(atMostOnce, history) {
		t.Fatal("two dispatches of one key were accepted as linearizable")
	}
}
