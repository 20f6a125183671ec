package feed

import (
	"sort"

	"lagoongw/internal/protocol/wire"
)

// Topic is one node's copy of a topic: the newest record of each key; it is not safe for concurrent use.
//
// A record replaces another only if its offset is higher, so that updates may arrive late, repeatedly and in any
// order. A record with an empty value is a tombstone: its key was deleted.
type Topic struct {
	// Name is the topic's name.
	Name string

	records map[string]wire.FeedRecord
	next    int
	loaded  bool
}

// Loaded reports whether the whole topic was read or received.
func (t *Topic) Loaded() bool { return t.loaded }

// Next returns the offset of the next record to read.
func (t *Topic) Next() int { return t.next }

// Apply merges an update and returns the records that changed; gap reports that records before the update are missing,
// so that the whole topic has to be fetched.
func (t *Topic) Apply(update wire.FeedUpdate) (changed []wire.FeedRecord, gap bool) {
	if t.records == nil {
		t.records = map[string]wire.FeedRecord{}
	}
	for _, record := range update.Records {
		if current, known := t.records[record.Key]; known && record.Offset <= current.Offset {
			continue
		}
		t.records[record.Key] = record
		changed = append(changed, record)
	}
	if update.Whole {
		changed = append(changed, t.removeMissing(update)...)
		t.loaded = true
	}
	if !t.loaded || !update.Whole && update.From > t.next {
		return changed, true
	}
	t.next = max(t.next, update.Next)
	return changed, false
}

// removeMissing replaces the records that a whole-topic update lacks by tombstones, except those newer than the
// update.
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
		t.records[key] = tombstone
		removed = append(removed, tombstone)
	}
	sort.Slice(removed, func(i, j int) bool { return removed[i].Key < removed[j].Key })
	return removed
}

// Snapshot returns the whole topic as an update for a peer; the topic must be loaded.
func (t *Topic) Snapshot() wire.FeedUpdate {
	update := wire.FeedUpdate{
		Topic: t.Name,
		Next:  t.next,
		Whole: true,
	}
	for _, record := range t.records {
		if record.Value != "" {
			update.Records = append(update.Records, record)
		}
	}
	sort.Slice(update.Records, func(i, j int) bool { return update.Records[i].Key < update.Records[j].Key })
	return update
}
