package feed

import (
	"sort"

	"lagoongw/internal/protocol/wire"
)

// Topic is one node's copy of a topic: the newest record of each key; it is not safe for concurrent use.
//
// A record counts only if its offset is higher than that of the one it replaces, so that updates may come late, twice,
// and in any order.
type Topic struct {
	// Name names the topic.
	Name string

	records map[string]wire.FeedRecord
	next    int
	known   bool
}

// Loaded reports whether the topic was read whole.
func (t *Topic) Loaded() bool { return t.known }

// Next returns the offset up to which the topic was read.
func (t *Topic) Next() int { return t.next }

// Apply merges an update and returns the records that are news; gap tells that records before the update are missing,
// so that the topic has to be fetched whole.
func (t *Topic) Apply(update wire.FeedUpdate) (news []wire.FeedRecord, gap bool) {
	if t.records == nil {
		t.records = map[string]wire.FeedRecord{}
	}
	for _, record := range update.Records {
		if held, known := t.records[record.Key]; known && record.Offset <= held.Offset {
			continue
		}
		t.records[record.Key] = record
		news = append(news, record)
	}
	if update.Whole {
		news = append(news, t.dropMissing(update)...)
		t.known = true
	}
	if !t.known || !update.Whole && update.From > t.next {
		return news, true
	}
	t.next = max(t.next, update.Next)
	return news, false
}

// dropMissing drops the keys that a whole update does not have, but for those that are newer than it.
func (t *Topic) dropMissing(update wire.FeedUpdate) (dropped []wire.FeedRecord) {
	present := map[string]bool{}
	for _, record := range update.Records {
		present[record.Key] = true
	}
	for key, held := range t.records {
		if present[key] || held.Offset >= update.Next || held.Value == "" {
			continue
		}
		gone := wire.FeedRecord{
			Key:    key,
			Offset: held.Offset,
		}
		t.records[key] = gone
		dropped = append(dropped, gone)
	}
	sort.Slice(dropped, func(i, j int) bool { return dropped[i].Key < dropped[j].Key })
	return dropped
}

// Snapshot returns the whole topic for a peer; it must be loaded.
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
