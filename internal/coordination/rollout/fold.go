package rollout

import (
	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

// Stream is the name of the log stream that carries the rules.
const Stream = "rules"

const (
	// noOffset is the revision before the first publish, and stands for any other offset that is not known yet.
	noOffset = -1
	// maxRecentRecords is the number of accepted records kept to answer peers.
	maxRecentRecords = 128
	// maxPendingRecords is the number of publish records kept until the state that they build on is known.
	maxPendingRecords = 4096
)

// Fold computes the rule file in force from the records of the rules stream; it is not safe for concurrent use.
type Fold struct {
	// Sealer authenticates and decodes the records.
	Sealer record.Sealer

	ready    bool
	revision int
	asOf     int
	text     string
	file     *rule.File
	verdicts verdicts
	// recent holds the newest accepted records, in log order.
	recent keptRecords
	// pending holds the newest publish records that were read before the fold was ready, and lastDropped the offset of the
	// newest one that was dropped.
	pending     keptRecords
	lastDropped int
	// oldest is the oldest offset that the log retained when reading began.
	oldest int
}

// NewFold returns a fold that has read no records.
func NewFold(sealer record.Sealer) *Fold {
	return &Fold{
		Sealer:      sealer,
		revision:    noOffset,
		asOf:        noOffset,
		verdicts:    newVerdicts(),
		lastDropped: noOffset,
		oldest:      noOffset,
	}
}

// Ready reports whether the rule file in force is known.
func (f *Fold) Ready() bool { return f.ready }

// Revision returns the offset of the publish in force, -1 before the first one.
func (f *Fold) Revision() int { return f.revision }

// AsOf returns the offset of the last record that the state includes, -1 before the first one.
func (f *Fold) AsOf() int { return f.asOf }

// Text returns the text of the rule file in force.
func (f *Fold) Text() string { return f.text }

// File returns the parsed rule file in force, nil before the first publish.
func (f *Fold) File() *rule.File { return f.file }

// History returns the newest verdicts, at most MaxVerdicts, in the order of their offsets.
func (f *Fold) History() []wire.RuleVerdict { return f.verdicts.list() }

// Verdict returns the verdict on a publish, and whether its record has been read from the log.
func (f *Fold) Verdict(publishID string) (wire.RuleVerdict, bool) { return f.verdicts.get(publishID) }

// SetOldest sets the oldest offset that the log retained when reading began; only the first call counts. At offset 0
// the fold is ready at once, since it reads the whole stream.
func (f *Fold) SetOldest(oldest int) {
	if f.oldest != noOffset || f.ready {
		return
	}
	f.oldest = oldest
	if oldest == 0 {
		f.ready = true
	}
}

// Apply applies one record of the log and reports whether the rule file in force changed.
func (f *Fold) Apply(entry wire.LogRecord) bool {
	if f.ready && entry.Offset <= f.asOf {
		return false
	}
	var r wire.RuleRecord
	err := f.Sealer.Open(Stream, entry.Data, &r)
	if !f.ready {
		return err == nil && f.applyBeforeReady(entry, r)
	}
	changed := false
	if err == nil && r.Type == wire.RuleRecordTypePublish {
		changed = f.decide(entry, r)
	}
	f.asOf = entry.Offset
	return changed
}

// applyBeforeReady keeps publish records as pending until a checkpoint gives the state that they build on. A checkpoint
// is usable only if it covers all records before the oldest one read.
func (f *Fold) applyBeforeReady(entry wire.LogRecord, r wire.RuleRecord) bool {
	if r.Type == wire.RuleRecordTypePublish {
		f.lastDropped = max(f.lastDropped, f.pending.add(entry, maxPendingRecords))
		return false
	}
	if f.oldest == noOffset || r.AsOf+1 < f.oldest {
		return false
	}
	return f.install(wire.RuleState{
		Revision: r.Base,
		AsOf:     r.AsOf,
		Hash:     r.Hash,
		Text:     r.Text,
		Recent:   r.Recent,
	}, entry.Offset)
}

// install sets the state and applies the pending records after it; upTo is the last offset that was read. It returns
// false if a record after the state was dropped, or if the text of the state is no valid rule file or differs from its
// hash.
func (f *Fold) install(state wire.RuleState, upTo int) bool {
	if !f.ready && state.AsOf < f.lastDropped {
		return false
	}
	var file *rule.File
	if state.Revision != noOffset {
		parsed, err := rule.Parse(state.Text)
		if err != nil || rule.Hash(state.Text) != state.Hash {
			return false
		}
		file = parsed
	}
	f.ready = true
	f.revision = state.Revision
	f.asOf = state.AsOf
	f.text = state.Text
	f.file = file
	f.recent = keptRecords{}
	f.verdicts.replace(state.Recent)
	pending := f.pending.list
	f.pending = keptRecords{}
	for _, entry := range pending {
		f.Apply(entry)
	}
	f.asOf = max(f.asOf, upTo)
	return true
}

// decide accepts or refuses a publish record, stores the verdict and reports whether the record was accepted. Repeated
// publish IDs are ignored.
func (f *Fold) decide(entry wire.LogRecord, r wire.RuleRecord) bool {
	if _, duplicate := f.verdicts.get(r.PublishID); duplicate || r.PublishID == "" {
		return false
	}
	verdict := wire.RuleVerdict{
		PublishID: r.PublishID,
		Offset:    entry.Offset,
		Revision:  f.revision,
	}
	text, file, reason := f.check(entry.Offset, r)
	if reason != "" {
		verdict.Reason = reason
		f.verdicts.add(verdict)
		return false
	}
	verdict.Accepted = true
	verdict.Revision = entry.Offset
	f.revision = entry.Offset
	f.text = text
	f.file = file
	f.verdicts.add(verdict)
	f.recent.add(entry, maxRecentRecords)
	return true
}

// check returns the text and the rule file that a publish record results in, or the reason to refuse it.
//
// A record before the revision in force is refused even if it is based on that revision, which a node can have merged
// from a peer before it reads the record. Nodes that read the log in order refuse it too.
func (f *Fold) check(offset int, r wire.RuleRecord) (string, *rule.File, string) {
	if r.Base != f.revision || offset <= f.revision {
		return "", nil, "another publish won; edit from the revision in force"
	}
	text, err := rule.Apply(f.text, r.Edits)
	if err != nil {
		return "", nil, err.Error()
	}
	if rule.Hash(text) != r.Hash {
		return "", nil, "hash of the edited file differs"
	}
	file, err := rule.Parse(text)
	if err != nil {
		return "", nil, err.Error()
	}
	return text, file, ""
}
