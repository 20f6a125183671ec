package feed

import (
	"cmp"
	"slices"
	"sort"

	"lagoongw/internal/protocol/wire"
)

// Topic is one node's copy of a topic: the newest record of each key; it is not safe for concurrent use. Updates may
// arrive late, repeatedly and in any order. A record with an empty value is a tombstone: its key was deleted.
//
// The store may be restored from an older copy, which begins a new era: offsets go back and are given out again, so
// that they order records within one era only. After a restore the topic keeps what it knew of the era before until it
// is written again: a restored record replaces a known one only if its content ranks higher.
type Topic struct {
	// Name is the topic's name.
	Name string
	// Rank ranks the records of a key by their content. It must not be nil.
	Rank func(record wire.FeedRecord) Rank
	// RankFirst makes the rank decide between any two records of a key, not only between restored ones.
	RankFirst bool

	records map[string]wire.FeedRecord
	// ranks holds the ranks of records that were compared, by key: to rank a record it has to be decoded.
	ranks map[string]Rank
	era   int
	next  int
	// freshFrom is the offset from which all records were certainly written in the current era. Records before it may
	// have been restored from a copy that is older than what the nodes know.
	freshFrom int
	loaded    bool
	// ahead is the range of offsets after a gap of which the updates were applied.
	ahead offsets
	// tombstones is the number of tombstones among the records.
	tombstones int
	// forgottenBefore is the offset before which tombstones may have been forgotten, 0 if none were.
	forgottenBefore int
}

// offsets is a range of offsets, from inclusive and next exclusive.
type offsets struct {
	from int
	next int
}

// MaxTombstones is the number of tombstones that a topic keeps; it has up to twice as many before it forgets the oldest.
const MaxTombstones = 4096

// Loaded reports whether the whole topic was read or received.
func (t *Topic) Loaded() bool { return t.loaded }

// Next returns the offset of the next record to read.
func (t *Topic) Next() int { return t.next }

// Era returns the newest era of the store that the topic was read in, by this node or by a peer.
func (t *Topic) Era() int { return t.era }

// FreshFrom returns the offset from which all records were certainly written in the current era.
func (t *Topic) FreshFrom() int { return t.freshFrom }

// Records returns the records of the topic without the tombstones, sorted by key.
func (t *Topic) Records() []wire.FeedRecord {
	var records []wire.FeedRecord
	for _, record := range t.records {
		if record.Value != "" {
			records = append(records, record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

// Apply merges an update and returns the records that changed, only the newest of each key if RankFirst is set; gap
// reports that records before the update are missing, so that the whole topic has to be fetched.
func (t *Topic) Apply(update wire.FeedUpdate) (changed []wire.FeedRecord, gap bool) {
	if t.records == nil {
		t.records = map[string]wire.FeedRecord{}
	}
	switch {
	case update.Era > t.era && !update.Whole:
		return nil, true
	case update.Era > t.era:
		t.beginEra(update)
	case update.Era < t.era:
		return t.mergeEarlierEra(update), false
	}
	if t.Ignores(update) {
		return nil, false
	}
	t.freshFrom = min(t.freshFrom, update.FreshFrom)
	for _, record := range update.Records {
		if t.replaces(record) {
			t.put(record)
			changed = t.appendChange(changed, record)
		}
	}
	if update.Whole {
		changed = append(changed, t.removeMissing(update)...)
		t.loaded = true
	}
	t.forgetTombstones()
	if !t.loaded || !update.Whole && update.From > t.next {
		t.extendAhead(update)
		return changed, true
	}
	t.next = max(t.next, update.Next)
	if t.ahead.from <= t.next {
		t.next = max(t.next, t.ahead.next)
		t.ahead = offsets{}
	}
	return changed, false
}

// extendAhead adds an update after the gap to those that were applied, so that the gap has closed once a snapshot reaches
// the first of them. An update that doesn't adjoin them takes their place.
func (t *Topic) extendAhead(update wire.FeedUpdate) {
	if update.From > t.ahead.next || update.Next < t.ahead.from {
		t.ahead = offsets{
			from: update.From,
			next: update.Next,
		}
		return
	}
	t.ahead.from = min(t.ahead.from, update.From)
	t.ahead.next = max(t.ahead.next, update.Next)
}

// Ignores reports whether an update is so late that Apply ignores it: it may repeat records whose tombstones were forgotten.
func (t *Topic) Ignores(update wire.FeedUpdate) bool {
	return update.Era == t.era && t.forgottenBefore > 0 && update.Next <= t.forgottenBefore
}

// beginEra moves the known records to the start of the era of a whole-topic update. What the update holds of it may
// replace them by rank, and every record written in the era by its offset.
func (t *Topic) beginEra(update wire.FeedUpdate) {
	t.era = update.Era
	t.next = 0
	t.ahead = offsets{}
	t.forgottenBefore = 0
	t.freshFrom = update.FreshFrom
	for key, record := range t.records {
		record.Offset = restoredOffset
		t.records[key] = record
	}
}

// restoredOffset is the offset of a record that is kept from an earlier era. It is lower than every offset of the store.
const restoredOffset = -1

// mergeEarlierEra merges an update of an era that has ended, from a peer that has not read the store since. Its records
// replace only restored ones, by rank. It says nothing about keys that it lacks, and adds no key that the restored topic
// lacks unless the rank decides: nothing would remove it again.
func (t *Topic) mergeEarlierEra(update wire.FeedUpdate) (changed []wire.FeedRecord) {
	for _, record := range update.Records {
		record.Offset = restoredOffset
		if _, known := t.records[record.Key]; !known && !t.RankFirst || !t.replaces(record) {
			continue
		}
		t.put(record)
		changed = t.appendChange(changed, record)
	}
	return changed
}

func (t *Topic) put(record wire.FeedRecord) {
	if before, known := t.records[record.Key]; known && before.Value == "" {
		t.tombstones--
	}
	if record.Value == "" {
		t.tombstones++
	}
	t.records[record.Key] = record
	delete(t.ranks, record.Key)
}

// Has reports whether the topic has a record or a tombstone of a key.
func (t *Topic) Has(key string) bool {
	_, known := t.records[key]
	return known
}

// Value returns the value of a key, empty if the topic has none.
func (t *Topic) Value(key string) string { return t.records[key].Value }

// Kept returns the record of a key as an update of the whole topic in an era has to repeat it so that it stays in force; known
// is false if the topic has none.
func (t *Topic) Kept(key string, era int) (record wire.FeedRecord, known bool) {
	record = t.records[key]
	if era != t.era {
		record.Offset = restoredOffset // its offset means another record in a new era
	}
	return record, record.Value != ""
}

// forgetTombstones removes the oldest tombstones if there are too many. Updates that end before the newest of them are
// ignored from then on: they could bring its key back. Where the rank decides, keys are few and none is forgotten.
func (t *Topic) forgetTombstones() {
	if t.RankFirst || t.tombstones <= 2*MaxTombstones {
		return
	}
	var tombstones []wire.FeedRecord
	for _, record := range t.records {
		if record.Value == "" {
			tombstones = append(tombstones, record)
		}
	}
	slices.SortFunc(tombstones, func(a, b wire.FeedRecord) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, record := range tombstones[:len(tombstones)-MaxTombstones] {
		delete(t.records, record.Key)
		delete(t.ranks, record.Key)
		t.tombstones--
		t.forgottenBefore = max(t.forgottenBefore, record.Offset+1)
	}
}

// appendChange appends a changed record. Where the rank decides, it takes the place of the one before of its key, which
// nobody has to decode any more.
func (t *Topic) appendChange(changed []wire.FeedRecord, record wire.FeedRecord) []wire.FeedRecord {
	if t.RankFirst {
		changed = slices.DeleteFunc(changed, func(before wire.FeedRecord) bool { return before.Key == record.Key })
	}
	return append(changed, record)
}

// rankOf returns the rank of the known record of a key.
func (t *Topic) rankOf(current wire.FeedRecord) Rank {
	rank, known := t.ranks[current.Key]
	if known {
		return rank
	}
	if t.ranks == nil {
		t.ranks = map[string]Rank{}
	}
	rank = t.Rank(current)
	t.ranks[current.Key] = rank
	return rank
}

// replaces reports whether a record replaces the known record of its key.
func (t *Topic) replaces(record wire.FeedRecord) bool {
	current, known := t.records[record.Key]
	if !known {
		return true
	}
	restored := record.Offset < t.freshFrom && current.Offset < t.freshFrom
	if t.RankFirst || restored {
		if order := t.Rank(record).compare(t.rankOf(current)); order != 0 {
			return order > 0
		}
	}
	return record.Offset > current.Offset
}

// removeMissing replaces the records that a whole-topic update lacks by tombstones, except those newer than the
// update, and those that rank above a tombstone where the rank decides.
func (t *Topic) removeMissing(update wire.FeedUpdate) (removed []wire.FeedRecord) {
	present := map[string]bool{}
	for _, record := range update.Records {
		present[record.Key] = true
	}
	for key, current := range t.records {
		if present[key] || current.Offset >= update.Next || current.Value == "" {
			continue
		}
		tombstone := wire.FeedRecord{
			Key:    key,
			Offset: current.Offset,
		}
		if t.RankFirst && t.Rank(tombstone).compare(t.rankOf(current)) < 0 {
			continue
		}
		t.put(tombstone)
		removed = append(removed, tombstone)
	}
	sort.Slice(removed, func(i, j int) bool { return removed[i].Key < removed[j].Key })
	return removed
}

// Snapshot returns the whole topic as an update for a peer; the topic must be loaded.
func (t *Topic) Snapshot() wire.FeedUpdate {
	return wire.FeedUpdate{
		Topic:     t.Name,
		Era:       t.era,
		FreshFrom: t.freshFrom,
		Next:      t.next,
		Whole:     true,
		Records:   t.Records(),
	}
}
