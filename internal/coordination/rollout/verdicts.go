package rollout

import (
	"sort"

	"lagoongw/internal/protocol/wire"
)

// MaxVerdicts is the number of publish verdicts that are kept.
const MaxVerdicts = 256

// verdicts holds the newest publish verdicts, sorted by offset; the set is the same at every node.
type verdicts struct {
	byID  map[string]wire.RuleVerdict
	order []wire.RuleVerdict
}

func newVerdicts() verdicts {
	return verdicts{byID: map[string]wire.RuleVerdict{}}
}

func (v *verdicts) get(id string) (wire.RuleVerdict, bool) {
	verdict, ok := v.byID[id]
	return verdict, ok
}

func (v *verdicts) add(verdict wire.RuleVerdict) {
	if _, known := v.byID[verdict.PublishID]; known {
		return
	}
	v.byID[verdict.PublishID] = verdict
	at := sort.Search(len(v.order), func(i int) bool { return v.order[i].Offset > verdict.Offset })
	v.order = append(v.order, wire.RuleVerdict{})
	copy(v.order[at+1:], v.order[at:])
	v.order[at] = verdict
	if len(v.order) > MaxVerdicts {
		delete(v.byID, v.order[0].PublishID)
		v.order = append([]wire.RuleVerdict(nil), v.order[1:]...)
	}
}

func (v *verdicts) list() []wire.RuleVerdict {
	return append([]wire.RuleVerdict(nil), v.order...)
}

func (v *verdicts) replace(list []wire.RuleVerdict) {
	*v = newVerdicts()
	for _, verdict := range list {
		v.add(verdict)
	}
}
