package claim

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// once is what callers are promised of a key: at most one attempt is dispatched; not-run changes nothing; whatever was told
// unknown or replayed came after a dispatch, or while one was claimed.
var once = porcupine.Model{
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

// Histories without voids, in which a claim is for ever, fit the model exactly.
func TestClaimHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bounds{
			submits: 2,
			lost:    3,
		}
		w := newWorld(3)
		asked := map[string]int64{}
		told := map[string]int64{}
		verdicts := map[string]Verdict{}
		now := int64(0)
		for range rapid.IntRange(10, 90).Draw(t, "steps") {
			now++
			list := w.moves(b)
			if len(list) == 0 {
				break
			}
			list[rapid.IntRange(0, len(list)-1).Draw(t, "move")].do(w)
			note(w, now, asked, told, verdicts)
		}
		var history []porcupine.Operation
		for id, verdict := range verdicts {
			history = append(history, porcupine.Operation{
				ClientId: len(history),
				Call:     asked[id],
				Output:   verdict,
				Return:   told[id],
			})
		}
		// An attempt without a verdict may have claimed the key all the same.
		for id, at := range asked {
			if _, known := verdicts[id]; !known && w.holds(id) {
				history = append(history, porcupine.Operation{
					ClientId: len(history),
					Call:     at,
					Output:   Dispatch,
					Return:   now + 1,
				})
			}
		}
		if !porcupine.CheckOperations(once, history) {
			t.Fatalf("not linearizable: %+v", history)
		}
	})
}

// note keeps when each attempt was asked for and told.
func note(w *world, now int64, asked, told map[string]int64, verdicts map[string]Verdict) {
	for node, n := range w.nodes {
		for number := 1; number <= n.submitted; number++ {
			id := fmt.Sprintf("node%d-%d", node, number)
			if _, known := asked[id]; !known {
				asked[id] = now
			}
			if verdict, known := w.told[id]; known && told[id] == 0 {
				told[id] = now
				verdicts[id] = verdict
			}
		}
	}
}

// holds reports whether the log as a whole gives the key to an attempt.
func (w *world) holds(id string) bool {
	fresh := newWorld(1).nodes[0]
	for _, entry := range w.log {
		fresh.claimer.ApplyRecord(entry, w.now)
	}
	holder, held := fresh.claimer.Index.Holder(testKey)
	return held && holder.Attempt() == id
}

func TestTheHistoryCheckSeesTwoDispatches(t *testing.T) {
	var history []porcupine.Operation
	for i, verdict := range []Verdict{Dispatch, Dispatch} {
		history = append(history, porcupine.Operation{
			ClientId: i,
			Call:     1,
			Output:   verdict,
			Return:   2,
		})
	}
	if porcupine.CheckOperations(once, history) {
		t.Fatal("two dispatches of one key were taken for linearizable")
	}
}
