package rollout

import (
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

// State returns the whole state in force, for a checkpoint or a peer.
func (f *Fold) State() wire.RuleState {
	return wire.RuleState{
		Revision: f.revision,
		AsOf:     f.asOf,
		Hash:     rule.Hash(f.text),
		Text:     f.text,
		Recent:   f.verdicts.list(),
	}
}

// DeltaSince returns the accepted records after a peer's revision, or the whole state if not all of them are kept.
func (f *Fold) DeltaSince(revision int) wire.RuleDelta {
	delta := wire.RuleDelta{Revision: f.revision, AsOf: f.asOf}
	if !f.ready || revision >= f.revision {
		return delta
	}
	first := f.indexAfter(revision)
	if first < 0 {
		state := f.State()
		delta.Whole = &state
		return delta
	}
	delta.Records = append(delta.Records, f.recent.list[first:]...)
	return delta
}

// indexAfter returns the index of the recent record that is based on a revision, or -1 if there is none.
func (f *Fold) indexAfter(revision int) int {
	for i, entry := range f.recent.list {
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

// Merge applies a peer's delta if it is newer than the state in force, and reports whether the rule file changed.
func (f *Fold) Merge(delta wire.RuleDelta) bool {
	if delta.Whole != nil {
		return f.mergeWhole(*delta.Whole)
	}
	if !f.ready {
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
		if f.decide(entry, r) {
			changed = true
		}
	}
	return changed
}

func (f *Fold) mergeWhole(state wire.RuleState) bool {
	if f.ready && state.Revision <= f.revision {
		return false
	}
	return f.install(state, state.AsOf)
}

// CheckpointRecord returns a checkpoint record of the state in force, ready to be sealed.
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

// PublishRecord returns the publish record that edits the file in force into text, based on the given revision.
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
