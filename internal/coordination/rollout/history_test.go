package rollout

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"lagoongw/internal/protocol/wire"
)

type publishInput struct {
	base int
}

type publishOutput struct {
	accepted bool
	revision int
}

// register is what operators are promised: a compare-and-set of the revision, at one moment between asking and being told.
var register = porcupine.Model{
	Init: func() any { return noRevision },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(publishInput), output.(publishOutput)
		if !out.accepted {
			return in.base != state.(int), state
		}
		return in.base == state.(int), out.revision
	},
	Equal: func(a, b any) bool { return a == b },
}

// operator publishes through one node: asks, the record takes effect some time later, and the verdict is read back.
type operator struct {
	fold   *Fold
	read   int
	id     string
	base   int
	called int64
	sealed *wire.RuleRecord
}

func TestPublishHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []wire.LogRecord
		var history []porcupine.Operation
		var operators []*operator
		for range 3 {
			f := NewFold(sealer)
			f.SetOldest(0)
			operators = append(operators, &operator{fold: f})
		}
		now := int64(0)
		for step := range rapid.IntRange(10, 80).Draw(t, "steps") {
			now++
			i := rapid.IntRange(0, len(operators)-1).Draw(t, "operator")
			o := operators[i]
			switch rapid.IntRange(0, 3).Draw(t, "move") {
			case 0:
				o.ask(step, now)
			case 1:
				log = o.effect(t, log)
			default:
				if done, ok := o.readOne(log, i, now); ok {
					history = append(history, done)
				}
			}
		}
		for i, o := range operators {
			now++
			log = o.effect(t, log)
			for o.read < len(log) {
				if done, ok := o.readOne(log, i, now); ok {
					history = append(history, done)
				}
			}
		}
		if !porcupine.CheckOperations(register, history) {
			t.Fatalf("not linearizable: %+v", history)
		}
	})
}

func (o *operator) ask(step int, now int64) {
	if o.id != "" {
		return
	}
	o.id = fmt.Sprint("publish-", step)
	o.base = o.fold.Revision()
	o.called = now
	text := fileText(1) + fmt.Sprintf("# change %d\n", step)
	r := publishRecord(o.id, o.base, o.fold.Text(), text)
	o.sealed = &r
}

func (o *operator) effect(t *rapid.T, log []wire.LogRecord) []wire.LogRecord {
	if o.sealed == nil {
		return log
	}
	data, err := sealer.Seal(Stream, *o.sealed)
	if err != nil {
		t.Fatal(err)
	}
	o.sealed = nil
	return append(log, wire.LogRecord{
		Offset: len(log),
		Data:   data,
	})
}

func (o *operator) readOne(log []wire.LogRecord, client int, now int64) (porcupine.Operation, bool) {
	if o.read >= len(log) {
		return porcupine.Operation{}, false
	}
	o.fold.Apply(log[o.read])
	o.read++
	verdict, known := o.fold.Verdict(o.id)
	if o.id == "" || !known {
		return porcupine.Operation{}, false
	}
	o.id = ""
	return porcupine.Operation{
		ClientId: client,
		Input:    publishInput{base: o.base},
		Call:     o.called,
		Output: publishOutput{
			accepted: verdict.Accepted,
			revision: verdict.Revision,
		},
		Return: now,
	}, true
}

// The check has teeth: two accepted publishes on one base are no history of a compare-and-set.
func TestTheHistoryCheckSeesTwoWinners(t *testing.T) {
	won := func(client, revision int) porcupine.Operation {
		return porcupine.Operation{
			ClientId: client,
			Input:    publishInput{base: noRevision},
			Call:     1,
			Output: publishOutput{
				accepted: true,
				revision: revision,
			},
			Return: 2,
		}
	}
	if porcupine.CheckOperations(register, []porcupine.Operation{won(0, 0), won(1, 1)}) {
		t.Fatal("two winners on one base were taken for linearizable")
	}
}
