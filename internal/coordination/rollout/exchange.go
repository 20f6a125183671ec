package rollout

import (
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

// State returns the whole state, for a checkpoint or a peer.
func (f *Fold) State() wire.RuleState {
	return wire.RuleState{
		Revision: f.revision,
		AsOf:     f.asOf,
		Hash:     rule.Hash(f.text),
		Text:     f.text,
		Recent:   f.verdicts.list(),
	}
}

// DeltaSince answers a peer at an older revision with the accepted records after it, or with the whole state.
func (f *Fold) DeltaSince(revision int) wire.RuleDelta {
	delta := wire.RuleDelta{Revision: f.revision, AsOf: f.asOf}
	if !f.anchored || revision >= f.revision {
		return delta
	}
	from := f.indexAfter(revision)
	if from < 0 {
		state := f.State()
		delta.Whole = &state
		return delta
	}
	delta.Records = append(delta.Records, f.recent[from:]...)
	return delta
}

// indexAfter returns the index of the first recent record after a revision, or -1 when the chain has a gap.
func (f *Fold) indexAfter(revision int) int {
	for i, entry := range f.recent {
		var r wire.RuleRecord
		if f.Sealer.Open(Stream, entry.Data, &r) != nil {
			return -1
		}
		if r.Base == revision {
			return i
		}
	}
	return -1
}

// Merge installs what a peer sent, if it is newer than what is in force, and reports whether it was.
func (f *Fold) Merge(delta wire.RuleDelta) bool {
	if delta.Whole != nil {
		return f.mergeWhole(*delta.Whole)
	}
	if !f.anchored {
		return false
	}
	changed := false
	for _, entry := range delta.Records {
		var r wire.RuleRecord
		if f.Sealer.Open(Stream, entry.Data, &r) != nil || r.Type != wire.RuleRecordTypePublish {
			return changed
		}
		if entry.Offset <= f.revision || r.Base != f.revision {
			continue
		}
		if f.judge(entry, r) {
			changed = true
		}
	}
	return changed
}

func (f *Fold) mergeWhole(state wire.RuleState) bool {
	if f.anchored && state.Revision <= f.revision {
		return false
	}
	return f.install(state, state.AsOf)
}

// CheckpointRecord returns the checkpoint record of the state in force.
func (f *Fold) CheckpointRecord() wire.RuleRecord {
	state := f.State()
	return wire.RuleRecord{
		Type:   wire.RuleRecordTypeCheckpoint,
		Base:   state.Revision,
		Hash:   state.Hash,
		Text:   state.Text,
		AsOf:   state.AsOf,
		Recent: state.Recent,
	}
}

// PublishRecord returns the record that turns the file in force into text, on top of the base revision.
func (f *Fold) PublishRecord(publishID string, base int, text string) wire.RuleRecord {
	text = rule.Normalize(text)
	return wire.RuleRecord{
		Type:      wire.RuleRecordTypePublish,
		PublishID: publishID,
		Base:      base,
		Hash:      rule.Hash(text),
		Edits:     rule.Delta(f.text, text),
	}
}
