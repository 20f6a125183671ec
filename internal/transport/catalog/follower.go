package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/protocol/wire"
)

// keepChanges is how many offsets back a node knows which records changed something, far more than lie between two reads.
const keepChanges = 10_000

// follower keeps one topic current, from the store and from peers.
type follower struct {
	source Source
	copy   Copy
	// take is given newer records and returns those that change what is believed.
	take func(newer []wire.FeedRecord) (news []wire.FeedRecord)
	// reached and lost are told how the reads of the store went.
	reached func()
	lost    func()
	// push passes an update on to the peers.
	push   func(update wire.FeedUpdate)
	logger zerolog.Logger

	mu    sync.Mutex
	topic feed.Topic
	turn  feed.ReadSchedule
	up    bool
	began bool
	// changes are the offsets of the records that changed something; those between them were heartbeats.
	changes map[int]bool
	// unsaved are the newest records that this node has not put into the copy.
	unsaved map[string]wire.FeedRecord
	// fromCopy notes that the copy stands in until the topic itself was read.
	fromCopy bool
}

// read reads the store once and passes what is news on to the peers.
func (f *follower) read(ctx context.Context, wait time.Duration) error {
	update, err := f.fetch(ctx, wait)
	now := time.Now()
	if err != nil {
		f.failed(ctx, err, now)
		return err
	}
	f.noteUp(nil)
	f.reached()
	f.push(f.apply(update, now))
	return nil
}

func (f *follower) fetch(ctx context.Context, wait time.Duration) (wire.FeedUpdate, error) {
	f.mu.Lock()
	known, from := f.topic.Loaded(), f.topic.Next()
	f.mu.Unlock()
	update := wire.FeedUpdate{
		Topic: f.topic.Name,
		From:  from,
	}
	var err error
	if known {
		update.Records, update.Next, err = f.source.Read(ctx, from, wait)
		if !errors.Is(err, ErrRecordsDeleted) {
			return update, err
		}
		f.logger.Warn().Str("decision", "feed").Str("topic", f.topic.Name).Int("offset", from).Msg("records were deleted; reading the newest ones")
	}
	update.Whole = true
	update.Records, update.Next, err = f.source.Newest(ctx)
	return update, err
}

// apply merges what was read and returns what the peers are told: the whole topic if it was read whole, else the records
// that change something. Those count that were no news here, since a peer may have missed them from whoever told this node.
func (f *follower) apply(update wire.FeedUpdate, now time.Time) wire.FeedUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(update, now)
	if update.Whole {
		return f.topic.Snapshot()
	}
	told := update
	told.Records = nil
	for _, record := range update.Records {
		if f.changes[record.Offset] {
			told.Records = append(told.Records, record)
		}
	}
	return told
}

// merge takes in an update that is current as of now; the lock must be held.
func (f *follower) merge(update wire.FeedUpdate, now time.Time) (gap bool) {
	newer, gap := f.topic.Apply(update)
	if f.unsaved == nil {
		f.unsaved = map[string]wire.FeedRecord{}
		f.changes = map[int]bool{}
	}
	for _, record := range f.take(newer) {
		f.unsaved[record.Key] = record
		f.changes[record.Offset] = true
	}
	if !gap {
		f.turn.MarkCurrent(now)
	}
	for offset := range f.changes {
		if offset < f.topic.Next()-keepChanges {
			delete(f.changes, offset)
		}
	}
	return gap
}

// save puts what changed into the copy.
func (f *follower) save(ctx context.Context) {
	f.mu.Lock()
	var records []wire.FeedRecord
	for _, record := range f.unsaved {
		records = append(records, record)
	}
	f.mu.Unlock()
	if len(records) == 0 {
		return
	}
	if err := f.copy.Save(ctx, records); err != nil {
		f.logger.Warn().Err(err).Str("step", "save copy of "+f.topic.Name).Str("peer", "store").Msg("copy not saved; trying again")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		if f.unsaved[record.Key].Offset == record.Offset {
			delete(f.unsaved, record.Key)
		}
	}
	f.logger.Info().Str("decision", "feed").Str("topic", f.topic.Name).Int("records", len(records)).Msg("copy saved")
}

// standIn takes the copy while the topic itself can't be read at the start; it is no whole topic, so that peers are not
// given it and every further read still asks for all.
func (f *follower) standIn(ctx context.Context) {
	f.mu.Lock()
	needed := !f.topic.Loaded() && !f.fromCopy
	f.mu.Unlock()
	if !needed {
		return
	}
	records, _, err := f.copy.Newest(ctx)
	if err != nil || len(records) == 0 {
		f.logger.Warn().Err(err).Str("step", "read copy of "+f.topic.Name).Str("peer", "store").Msg("no copy to start from")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.topic.Loaded() {
		return
	}
	f.fromCopy = true
	f.take(records)
	f.logger.Info().Str("decision", "feed").Str("topic", f.topic.Name).Int("records", len(records)).Msg("started from the copy")
}

// heard merges a peer's update; gap tells that the topic has to be fetched whole from that peer.
func (f *follower) heard(update wire.FeedUpdate) (gap bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A peer's word shows that the store is back, also to a node whose own read failed.
	f.reached()
	return f.merge(update, time.Now())
}

func (f *follower) whole() (wire.FeedUpdate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic.Snapshot(), f.topic.Loaded()
}

func (f *follower) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic.Loaded()
}

func (f *follower) next() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic.Next()
}

func (f *follower) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turn.Age(now)
}

func (f *follower) due(rank int, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turn.Due(rank, now)
}

// pause returns how long to wait after a failed read.
func (f *follower) pause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turn.Backoff()
}

func (f *follower) failed(ctx context.Context, err error, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	f.turn.MarkFailed(now)
	f.mu.Unlock()
	f.noteUp(err)
	f.lost()
}

// noteUp logs when the store is lost and when it is back.
func (f *follower) noteUp(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	up := err == nil
	if f.began && up == f.up {
		return
	}
	f.began = true
	f.up = up
	if up {
		f.logger.Info().Str("step", "read "+f.topic.Name).Str("peer", "store").Msg("dependency reached: store")
		return
	}
	f.logger.Warn().Err(err).Str("step", "read "+f.topic.Name).Str("peer", "store").Msg("dependency lost: store")
}
