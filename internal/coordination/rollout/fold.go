package rollout

import (
	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

// Stream is the name of the log stream that carries the rules.
const Stream = "rules"

const (
	noRevision  = -1
	maxRecent   = 128
	maxUnjudged = 4096
)

// Fold is the rule file in force as a function of the rules stream; it is not safe for concurrent use.
type Fold struct {
	// Sealer opens the records.
	Sealer record.Sealer

	anchored bool
	revision int
	asOf     int
	text     string
	file     *rule.File
	verdicts verdicts
	recent   []wire.LogRecord
	unjudged []wire.LogRecord
	oldest   int
}

// NewFold returns a fold that has seen nothing.
func NewFold(sealer record.Sealer) *Fold {
	return &Fold{
		Sealer:   sealer,
		revision: noRevision,
		asOf:     noRevision,
		verdicts: newVerdicts(),
		oldest:   noRevision,
	}
}

// Ready reports whether the rule file in force is known.
func (f *Fold) Ready() bool { return f.anchored }

// Revision returns the offset of the publish in force, -1 before the first one.
func (f *Fold) Revision() int { return f.revision }

// AsOf returns the last offset up to which the state is known to hold.
func (f *Fold) AsOf() int { return f.asOf }

// Text returns the rule file in force.
func (f *Fold) Text() string { return f.text }

// File returns the parsed rule file in force, nil before the first publish.
func (f *Fold) File() *rule.File { return f.file }

// History returns the newest verdicts in the order of their offsets.
func (f *Fold) History() []wire.RuleVerdict { return f.verdicts.list() }

// Verdict returns the decision on a publish, if it has been read from the log.
func (f *Fold) Verdict(publishID string) (wire.RuleVerdict, bool) { return f.verdicts.get(publishID) }

// SetOldest tells the fold the oldest offset that the log retained when reading began.
func (f *Fold) SetOldest(oldest int) {
	if f.oldest != noRevision || f.anchored {
		return
	}
	f.oldest = oldest
	if oldest == 0 {
		f.anchored = true
	}
}

// Apply folds one record of the log and reports whether the rule file in force changed.
func (f *Fold) Apply(entry wire.LogRecord) bool {
	if f.anchored && entry.Offset <= f.asOf {
		return false
	}
	var r wire.RuleRecord
	err := f.Sealer.Open(Stream, entry.Data, &r)
	if !f.anchored {
		return err == nil && f.applyUnanchored(entry, r)
	}
	changed := false
	if err == nil && r.Type == wire.RuleRecordTypePublish {
		changed = f.judge(entry, r)
	}
	f.asOf = entry.Offset
	return changed
}

func (f *Fold) applyUnanchored(entry wire.LogRecord, r wire.RuleRecord) bool {
	if r.Type == wire.RuleRecordTypePublish {
		if len(f.unjudged) < maxUnjudged {
			f.unjudged = append(f.unjudged, entry)
		}
		return false
	}
	complete := f.oldest != noRevision && r.AsOf+1 >= f.oldest && len(f.unjudged) < maxUnjudged
	if !complete {
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

// install anchors the fold at a state and judges the records after it that were kept.
func (f *Fold) install(state wire.RuleState, upTo int) bool {
	var file *rule.File
	if state.Revision != noRevision {
		parsed, err := rule.Parse(state.Text)
		if err != nil || rule.Hash(state.Text) != state.Hash {
			return false
		}
		file = parsed
	}
	f.anchored = true
	f.revision = state.Revision
	f.asOf = state.AsOf
	f.text = state.Text
	f.file = file
	f.recent = nil
	f.verdicts.replace(state.Recent)
	kept := f.unjudged
	f.unjudged = nil
	for _, entry := range kept {
		f.Apply(entry)
	}
	f.asOf = max(f.asOf, upTo)
	return true
}

func (f *Fold) judge(entry wire.LogRecord, r wire.RuleRecord) bool {
	if _, repeated := f.verdicts.get(r.PublishID); repeated || r.PublishID == "" {
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
	f.recent = append(f.recent, entry)
	if len(f.recent) > maxRecent {
		f.recent = append([]wire.LogRecord(nil), f.recent[1:]...)
	}
	return true
}

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
