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

// revisionModel is the sequential specification of a publish: a compare-and-set of the revision. A publish takes effect
// at one moment between its call and the return of its verdict.
var revisionModel = porcupine.Model{
	Init: func() any { return noOffset },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(publishInput), output.(publishOutput)
		if !out.accepted {
			return in.base != state.(int), state
		}
		return in.base == state.(int), out.revision
	},
	Equal: func(a, b any) bool { return a == b },
}

// operator publishes through one node: it builds a record, appends it to the log some time later and reads the verdict.
type operator struct {
	fold     *Fold
	next     int
	id       string
	base     int
	calledAt int64
	unsent   *wire.RuleRecord
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
				o.prepare(step, now)
			case 1:
				log = o.appendTo(t, log)
			default:
				if done, ok := o.readNext(log, i, now); ok {
					history = append(history, done)
				}
			}
		}
		for i, o := range operators {
			now++
			log = o.appendTo(t, log)
			for o.next < len(log) {
				if done, ok := o.readNext(log, i, now); ok {
					history = append(history, done)
				}
			}
		}
		if !porcupine.CheckOperations(revisionModel, history) {
			t.Fatalf("not linearizable: %+v", history)
		}
	})
}

func (o *operator) prepare(step int, now int64) {
	if o.id != "" {
		return
	}
	o.id = fmt.Sprint("publish-", step)
	o.base = o.fold.Revision()
	o.calledAt = now
	text := fileText(1) + fmt.Sprintf("# change %d\n", step)
	r := publishRecord(o.id, o.base, o.fold.Text(), text)
	o.unsent = &r
}

func (o *operator) appendTo(t *rapid.T, log []wire.LogRecord) []wire.LogRecord {
	if o.unsent == nil {
		return log
	}
	data, err := sealer.Seal(Stream, *o.unsent)
	if err != nil {
		t.Fatal(err)
	}
	o.unsent = nil
	return append(log, wire.LogRecord{
		Offset: len(log),
		Data:   data,
	})
}

func (o *operator) readNext(log []wire.LogRecord, client int, now int64) (porcupine.Operation, bool) {
	if o.next >= len(log) {
		return porcupine.Operation{}, false
	}
	o.fold.Apply(log[o.next])
	o.next++
	verdict, known := o.fold.Verdict(o.id)
	if o.id == "" || !known {
		return porcupine.Operation{}, false
	}
	o.id = ""
	return porcupine.Operation{
		ClientId: client,
		Input:    publishInput{base: o.base},
		Call:     o.calledAt,
		Output: publishOutput{
			accepted: verdict.Accepted,
			revision: verdict.Revision,
		},
		Return: now,
	}, true
}

// TestHistoryCheckRejectsTwoWinners guards against a linearizability check that passes any history: two accepted
// publishes with the same base must fail it.
func TestHistoryCheckRejectsTwoWinners(t *testing.T) {
	accepted := func(client, revision int) porcupine.Operation {
		return porcupine.Operation{
			ClientId: client,
			Input:    publishInput{base: noOffset},
			Call:     1,
			Output: publishOutput{
				accepted: true,
				revision: revision,
			},
			Return: 2,
		}
	}
	if porcupine.CheckOperations(revisionModel, []porcupine.Operation{accepted(0, 0), accepted(1, 1)}) {
		t.Fatal("two accepted publishes with the same base passed as linearizable")
	}
}
