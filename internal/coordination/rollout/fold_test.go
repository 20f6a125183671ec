package rollout

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

var sealer = record.Sealer{Secret: []byte("secret of the tests")}

func fileText(n int) string {
	return fmt.Sprintf("rule=general class=advice tier=%d idempotent=yes # asked for by sales\n", n)
}

func seal(t testing.TB, offset int, r wire.RuleRecord) wire.LogRecord {
	t.Helper()
	data, err := sealer.Seal(Stream, r)
	if err != nil {
		t.Fatal(err)
	}
	return wire.LogRecord{
		Offset: offset,
		Data:   data,
	}
}

func publishRecord(id string, base int, before, after string) wire.RuleRecord {
	return wire.RuleRecord{
		Type:      wire.RuleRecordTypePublish,
		PublishID: id,
		Base:      base,
		Hash:      rule.Hash(after),
		Edits:     rule.Delta(before, after),
	}
}

func foldAll(log []wire.LogRecord, oldest int) *Fold {
	f := NewFold(sealer)
	f.SetOldest(oldest)
	for _, entry := range log {
		if entry.Offset >= oldest {
			f.Apply(entry)
		}
	}
	return f
}

func TestOnlyOneOfConcurrentPublishesIsAccepted(t *testing.T) {
	is := is.New(t)
	log := []wire.LogRecord{
		seal(t, 0, publishRecord("first", -1, "", fileText(1))),
		seal(t, 1, publishRecord("anna", 0, fileText(1), fileText(2))),
		seal(t, 2, publishRecord("bruno", 0, fileText(1), fileText(3))),
	}
	f := foldAll(log, 0)
	anna, _ := f.Verdict("anna")
	bruno, _ := f.Verdict("bruno")
	is.True(anna.Accepted)
	is.True(!bruno.Accepted)
	is.Equal(bruno.Revision, 1) // the refused publish learns the revision of the accepted one
	is.Equal(f.Text(), fileText(2))
}

func TestRepeatedPublishIsAppliedOnce(t *testing.T) {
	is := is.New(t)
	first := publishRecord("first", -1, "", fileText(1))
	f := foldAll([]wire.LogRecord{
		seal(t, 0, first),
		seal(t, 1, first),
	}, 0)
	is.Equal(f.Revision(), 0)
	is.Equal(len(f.History()), 1)
}

func TestBadRecordsAreRefusedByAll(t *testing.T) {
	good := seal(t, 0, publishRecord("first", -1, "", fileText(1)))
	wrongHash := publishRecord("bad", 0, fileText(1), fileText(2))
	wrongHash.Hash = rule.Hash("else")
	wrongEdit := publishRecord("bad", 0, fileText(1), fileText(2))
	wrongEdit.Edits[0].Delete = 99
	future := publishRecord("bad", 7, fileText(1), fileText(2))
	for name, data := range map[string]string{
		"not sealed":              `0000 {"type":"publish"}`,
		"empty":                   "",
		"sealed for other stream": sealForOtherStream(t),
		"cut short":               seal(t, 1, publishRecord("bad", 0, fileText(1), fileText(2))).Data[:60],
		"wrong hash":              seal(t, 1, wrongHash).Data,
		"wrong edit":              seal(t, 1, wrongEdit).Data,
		"future base":             seal(t, 1, future).Data,
		"not a rule file":         seal(t, 1, publishRecord("bad", 0, fileText(1), "rule=x tier=99\n")).Data,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := foldAll([]wire.LogRecord{good, {
				Offset: 1,
				Data:   data,
			}}, 0)
			is.Equal(f.Revision(), 0)
			is.Equal(f.Text(), fileText(1))
		})
	}
}

func sealForOtherStream(t *testing.T) string {
	data, err := sealer.Seal("claims-0", publishRecord("bad", 0, fileText(1), fileText(2)))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestNodesConvergeForEveryOrderOfPublishes(t *testing.T) {
	records := []wire.RuleRecord{
		publishRecord("a", -1, "", fileText(1)),
		publishRecord("b", -1, "", fileText(2)),
		publishRecord("c", 0, fileText(1), fileText(3)),
		publishRecord("d", 0, fileText(2), fileText(4)),
		publishRecord("e", 1, fileText(3), fileText(5)),
	}
	permutations := 0
	permute(len(records), func(order []int) {
		permutations++
		var log []wire.LogRecord
		for offset, i := range order {
			log = append(log, seal(t, offset, records[i]))
		}
		checkConvergence(t, log)
	})
	t.Logf("%d permutations", permutations)
}

// checkConvergence checks that three nodes end with the same file: one that reads the whole log, one that merges a
// peer's state in between, and one that starts from a checkpoint in a truncated log.
func checkConvergence(t *testing.T, log []wire.LogRecord) {
	t.Helper()
	whole := foldAll(log, 0)
	accepted := 0
	last := -1
	for _, verdict := range whole.History() {
		if verdict.Accepted {
			accepted++
			if verdict.Revision <= last {
				t.Fatalf("revision decreased from %d to %d", last, verdict.Revision)
			}
			last = verdict.Revision
		}
	}
	if accepted == 0 {
		t.Fatal("no publish was accepted although one was based on the empty file")
	}
	for cut := range log {
		ahead := foldAll(log[:cut], 0)
		behind := foldAll(log[:cut/2], 0)
		before := behind.Revision()
		behind.Merge(ahead.DeltaSince(behind.Revision()))
		if behind.Revision() < before {
			t.Fatalf("merge decreased the revision from %d to %d", before, behind.Revision())
		}
		for _, entry := range log {
			behind.Apply(entry)
		}
		if behind.Text() != whole.Text() || behind.Revision() != whole.Revision() {
			t.Fatalf("node that merged from a peer differs: revision %d, want %d", behind.Revision(), whole.Revision())
		}
		checkTruncated(t, log, cut, whole)
	}
}

// checkTruncated checks folds that start at each later offset of the log, with a checkpoint at its end that covers the
// records before cut. A fold gets ready only if the checkpoint covers all records that it did not read.
func checkTruncated(t *testing.T, log []wire.LogRecord, cut int, whole *Fold) {
	t.Helper()
	writer := foldAll(log[:cut], 0)
	checkpoint := seal(t, len(log), writer.CheckpointRecord())
	for oldest := 1; oldest <= len(log); oldest++ {
		f := foldAll(append(append([]wire.LogRecord{}, log...), checkpoint), oldest)
		complete := cut >= oldest
		if f.Ready() != complete {
			t.Fatalf("checkpoint as of %d, log from %d: ready is %t", cut-1, oldest, f.Ready())
		}
		if complete && f.Text() != whole.Text() {
			t.Fatalf("checkpoint as of %d, log from %d: files in force differ", cut-1, oldest)
		}
	}
}

func permute(n int, visit func([]int)) {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	var step func(int)
	step = func(k int) {
		if k == n {
			visit(order)
			return
		}
		for i := k; i < n; i++ {
			order[k], order[i] = order[i], order[k]
			step(k + 1)
			order[k], order[i] = order[i], order[k]
		}
	}
	step(0)
}

func TestFoldOfTruncatedLogIsNotReadyWithoutState(t *testing.T) {
	is := is.New(t)
	f := NewFold(sealer)
	f.SetOldest(5)
	f.Apply(seal(t, 5, publishRecord("late", 4, fileText(1), fileText(2))))
	is.True(!f.Ready()) // the state at revision 4 is unknown
	peer := foldAll([]wire.LogRecord{
		seal(t, 4, publishRecord("first", -1, "", fileText(1))),
		seal(t, 5, publishRecord("late", 4, fileText(1), fileText(2))),
	}, 0)
	f.Merge(peer.DeltaSince(-2))
	is.True(f.Ready())
	is.Equal(f.Revision(), 5)
	is.Equal(f.Text(), fileText(2))
}

// TestStateBeforeDroppedPublishesIsNotInstalled guards against a node that skips publishes: it had read more of them than
// it keeps before it knew the state that they build on, and then took an older state from a peer or a checkpoint.
func TestStateBeforeDroppedPublishesIsNotInstalled(t *testing.T) {
	is := is.New(t)
	log := []wire.LogRecord{seal(t, 0, publishRecord("first", -1, "", fileText(1)))}
	for offset := 1; offset <= maxPendingRecords+10; offset++ {
		log = append(log, seal(t, offset, publishRecord(fmt.Sprint(offset), offset-1, fileText(offset%10), fileText((offset+1)%10))))
	}
	whole := foldAll(log, 0)
	for name, test := range map[string]struct {
		states []int
		ready  bool
	}{
		"state before the dropped records":           {states: []int{5}},
		"state of the last dropped record":           {states: []int{10}, ready: true},
		"newer state":                                {states: []int{maxPendingRecords}, ready: true},
		"state before the dropped records, then one": {states: []int{0, 20}, ready: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			merged, read := foldAll(log, 1), foldAll(log, 1)
			for _, asOf := range test.states {
				peer := foldAll(log[:asOf+1], 0)
				state := peer.State()
				merged.Merge(wire.RuleDelta{Whole: &state})
				read.Apply(seal(t, len(log), peer.CheckpointRecord()))
			}
			for _, f := range []*Fold{merged, read} {
				is.Equal(f.Ready(), test.ready)
				if test.ready {
					is.Equal(f.Text(), whole.Text())
				}
			}
		})
	}
	is.Equal(len(foldAll(log, 1).pending.list), maxPendingRecords)
}

// TestLargeRecordsAreNotAllKept guards against a node that keeps gigabytes of large publishes, before and after it knows
// the state; peers behind the kept ones get the whole state.
func TestLargeRecordsAreNotAllKept(t *testing.T) {
	is := is.New(t)
	var log []wire.LogRecord
	before := ""
	for offset := range 8 {
		line := "# " + strings.Repeat(string(rune('a'+offset)), 2000) + "\n"
		text := strings.Repeat(line, 400) + fileText(offset)
		log = append(log, seal(t, offset, publishRecord(fmt.Sprint(offset), offset-1, before, text)))
		before = text
	}
	total := func(records []wire.LogRecord) (size int) {
		for _, entry := range records {
			size += len(entry.Data)
		}
		return size
	}
	is.True(total(log) > 3*maxKeptBytes/2)
	notReady, ready := foldAll(log, 1), foldAll(log, 0)
	is.True(total(notReady.pending.list) <= maxKeptBytes)
	is.True(total(ready.recent.list) <= maxKeptBytes)
	is.True(ready.DeltaSince(0).Whole != nil)
	state := foldAll(log[:2], 0).State()
	notReady.Merge(wire.RuleDelta{Whole: &state})
	is.True(!notReady.Ready())
	notReady.Merge(ready.DeltaSince(-1))
	is.Equal(notReady.Text(), ready.Text())
}

func TestDeltaOfRandomTextsAppliesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", ""}), 0, 12)
		before := rule.Normalize(strings.Join(lines.Draw(t, "before"), "\n"))
		after := rule.Normalize(strings.Join(lines.Draw(t, "after"), "\n"))
		got, err := rule.Apply(before, rule.Delta(before, after))
		if err != nil || got != after {
			t.Fatalf("edits from %q to %q gave %q, error %v", before, after, got, err)
		}
	})
}

// A record based on a later revision is refused when the log is read in order. A node that has merged that revision
// from a peer before it reads the record must refuse it too, although the base then is the revision in force.
func TestRecordWithLaterBaseIsRefusedAfterMergeFromPeer(t *testing.T) {
	is := is.New(t)
	log := []wire.LogRecord{
		seal(t, 0, publishRecord("first", -1, "", fileText(1))),
		seal(t, 1, publishRecord("ahead", 2, fileText(2), fileText(9))),
		seal(t, 2, publishRecord("second", 0, fileText(1), fileText(2))),
	}
	whole := foldAll(log, 0)
	merged := foldAll(log[:1], 0)
	is.True(merged.Merge(whole.DeltaSince(0)))
	is.Equal(merged.Revision(), 2)
	for _, entry := range log {
		merged.Apply(entry)
	}
	is.Equal(merged.Revision(), 2)
	is.Equal(merged.Text(), whole.Text())
}

func TestOlderStateFromPeerIsNotInstalled(t *testing.T) {
	is := is.New(t)
	log := []wire.LogRecord{
		seal(t, 0, publishRecord("first", -1, "", fileText(1))),
		seal(t, 1, publishRecord("second", 0, fileText(1), fileText(2))),
	}
	newer := foldAll(log, 0)
	olderState := foldAll(log[:1], 0).State()
	is.True(!newer.Merge(wire.RuleDelta{
		Revision: 0,
		Whole:    &olderState,
	}))
	is.Equal(newer.Revision(), 1)
}
