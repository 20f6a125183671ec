package catalog

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/schedule"
)

// changeHistoryOffsets is the number of newest offsets for which follower.changes is kept; far fewer lie between two
// reads.
const changeHistoryOffsets = 10_000

// refreshPushInterval is the least time between two pushes of a reader's refreshes that changed nothing. It is half of the
// period of regular reads, so that the other nodes are told as often as before.
const refreshPushInterval = upstreamsReadPeriod / 2

// follower keeps one topic up to date from the store and from peers.
type follower struct {
	source Source
	copy   Copy
	// applyRecords applies new records and returns those that changed something.
	applyRecords func(records []wire.FeedRecord) (changed []wire.FeedRecord)
	// onStoreReachable is called after each successful read of the store and each update of a peer, onStoreUnreachable
	// after each failed read and when the store was restored from an older copy.
	onStoreReachable   func()
	onStoreUnreachable func()
	// push sends an update to the peers.
	push   func(update wire.FeedUpdate)
	logger zerolog.Logger
	// versions, if set, records the versions of upstreams before their entries are applied; decode decodes an entry,
	// withhold is called for upstreams whose entries have to wait, and serves reports whether a pool has others.
	versions VersionRecord
	decode   func(name string, data []byte) (wire.Machine, error)
	withhold func(rows []wire.Machine)
	serves   func(pool string) bool
	// tasks runs the waits for versions to be recorded.
	tasks *schedule.Tasks

	mu           sync.Mutex
	topic        feed.Topic
	readSchedule feed.ReadSchedule
	reachable    bool
	// reachabilityLogged is set once reachable holds the result of a read.
	reachabilityLogged bool
	// changes holds the offsets of the records that applyRecords reported as changes. The other records were heartbeats,
	// which repeat an upstream's entry unchanged.
	changes map[int]bool
	// unsaved holds, by key, the newest record that this node has not saved to the copy.
	unsaved map[string]wire.FeedRecord
	// catchingUp is set while a read of records that a peer left out is in flight.
	catchingUp bool
	// catchUpAgain is set if another one was asked for meanwhile.
	catchUpAgain bool
	// fetches are the fetches of the whole topic from peers.
	fetches feed.FetchQueue
	// fromCopy is set when the copy was loaded because the topic could not be read.
	fromCopy bool
	// admissions counts the updates whose versions had to be recorded: each takes the place of the one before.
	admissions atomic.Int64
	// admitFrom is when versions may be recorded that came before this node's first list, from the store or a peer, while their
	// pools have others.
	admitFrom time.Time
	// failedAt is when this node's last failed read of the store ended, and storeAnswered is set if the store answered it.
	failedAt      time.Time
	storeAnswered bool
	// pushedAt is when what was read last was sent to the peers.
	pushedAt time.Time
	// packing guards packed, the last snapshot that was packed.
	packing sync.Mutex
	packed  packedSnapshot
}

// read reads the store once and sends what changed to the peers, unless this node is far down the order of readers, in which it has
// a rank.
func (f *follower) read(ctx context.Context, rank int, wait time.Duration) error {
	update, err := f.fetch(ctx, wait)
	if err != nil {
		f.recordFailure(ctx, err, time.Now())
		return err
	}
	f.logReachability(nil)
	f.accept(ctx, rank, update)
	return nil
}

// refresh reads the store once and sends what changed to the peers, if anything did: many nodes may refresh at the same time,
// and each push goes to all others. The reader, whose regular reads it replaces, pushes all the same, at most refreshPushInterval
// apart. A failure does not count as an outage, since the read is not due.
func (f *follower) refresh(ctx context.Context, isReader bool) error {
	update, err := f.fetch(ctx, 0)
	if err != nil {
		return err
	}
	f.onStoreReachable()
	f.admit(ctx, update, func(update wire.FeedUpdate, now time.Time) {
		pushed, changed := f.applyRead(update, now)
		if changed || isReader && f.pushIsDue(time.Now()) {
			f.pushRead(pushed)
		}
	})
	return nil
}

// pushIsDue reports whether the last push of a read was at least refreshPushInterval ago.
func (f *follower) pushIsDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.pushedAt) >= refreshPushInterval
}

// pushRead sends an update that was read from the store to the peers.
func (f *follower) pushRead(update wire.FeedUpdate) {
	f.mu.Lock()
	f.pushedAt = time.Now()
	f.mu.Unlock()
	f.push(update)
}

// accept applies an update that was read from the store and sends what changed to the peers if that is due.
func (f *follower) accept(ctx context.Context, rank int, update wire.FeedUpdate) {
	f.onStoreReachable()
	f.admit(ctx, update, func(update wire.FeedUpdate, now time.Time) {
		pushed, _ := f.applyRead(update, now)
		if f.pushesAt(rank, now) {
			f.pushRead(pushed)
		}
	})
}

// pushesAt reports whether this node, with a rank in the order of readers, sends what it reads to the peers.
func (f *follower) pushesAt(rank int, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readSchedule.PushDue(rank, now)
}

// readAlone reads the store once for this node alone.
func (f *follower) readAlone(ctx context.Context) error {
	update, err := f.fetch(ctx, 0)
	if err == nil {
		f.admit(ctx, update, func(update wire.FeedUpdate, now time.Time) { f.applyUpdate(update, now) })
	}
	return err
}

// catchUp reads the records that a peer left out for this node alone. While another catch-up is in flight, which may have
// read the store before they were written, it only asks for one more read after it.
func (f *follower) catchUp(ctx context.Context) (err error) {
	if !f.beginCatchUp() {
		return nil
	}
	for more := true; more; more = f.endCatchUp() {
		err = f.readAlone(ctx)
	}
	return err
}

// beginCatchUp reports whether a catch-up may start; it may not while another one is in flight.
func (f *follower) beginCatchUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.catchingUp {
		f.catchUpAgain = true
		return false
	}
	f.catchingUp = true
	return true
}

// endCatchUp reports whether another read was asked for meanwhile, which is then in flight.
func (f *follower) endCatchUp() (more bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	more = f.catchUpAgain
	f.catchingUp = more
	f.catchUpAgain = false
	return more
}

func (f *follower) requestFetch(target feed.Target) (start bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fetches.Request(target)
}

func (f *follower) endFetch() (next feed.Target, more bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fetches.Done()
}

// fetch reads the records after the last known offset, or the whole topic if it isn't loaded, if more follow than one
// answer holds, if records were deleted, or if the store was restored from an older copy, in which the known offsets
// mean other records.
func (f *follower) fetch(ctx context.Context, wait time.Duration) (wire.FeedUpdate, error) {
	f.mu.Lock()
	loaded, era := f.topic.Loaded(), f.topic.Era()
	update := wire.FeedUpdate{
		Topic:     f.topic.Name,
		Era:       era,
		FreshFrom: f.topic.FreshFrom(),
		From:      f.topic.Next(),
	}
	f.mu.Unlock()
	if loaded {
		batch, err := f.source.Read(ctx, update.From, wait)
		switch {
		case err == nil && batch.Era == era && !batch.More:
			update.Records, update.Next = f.readable(batch.Records), batch.Next
			return update, nil
		case err != nil && !errors.Is(err, ErrRecordsDeleted) && !errors.Is(err, ErrUnreadable):
			return update, err
		}
		f.logger.Warn().Err(err).Str("decision", "feed").Str("topic", f.topic.Name).Int("offset", update.From).Int("era", era).
			Msg("records were deleted, are many or can't be decoded, or the store was restored; reading the newest records")
	}
	batch, err := f.source.Newest(ctx)
	update.Whole = true
	update.Records, update.Next, update.Era = f.readable(batch.Records), batch.Next, batch.Era
	if batch.Era != era {
		// Any record that the store has by now may come from the copy that it was restored from.
		update.FreshFrom = batch.Next
	}
	return update, err
}

// applyRead merges an update read from the store and returns the update for the peers: a snapshot if the whole topic
// was read, else the records that changed something. These include records that this node already had from a peer,
// since other peers may have missed that peer's update. changed reports whether the update holds such records or, as a
// snapshot, changed what this node had loaded before.
func (f *follower) applyRead(update wire.FeedUpdate, now time.Time) (pushed wire.FeedUpdate, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	loadedBefore := f.topic.Loaded()
	changed, _ = f.merge(update, now)
	if update.Whole {
		return f.topic.Snapshot(), changed && loadedBefore
	}
	pushed = update
	pushed.FreshFrom = f.topic.FreshFrom()
	pushed.Records = nil
	for _, record := range update.Records {
		if f.changes[record.Offset] {
			pushed.Records = append(pushed.Records, record)
		}
	}
	return pushed, len(pushed.Records) > 0
}

// merge applies the new records of an update that is current as of a time. It reports whether they changed something or began
// a new era, and whether records between the topic's next offset and the update are missing. The caller must hold the lock.
func (f *follower) merge(update wire.FeedUpdate, currentAt time.Time) (changed, gap bool) {
	eraBefore, loadedBefore := f.topic.Era(), f.topic.Loaded()
	ignored := f.topic.Ignores(update)
	newer, gap := f.topic.Apply(update)
	if !loadedBefore && f.topic.Loaded() {
		f.admitFrom = time.Now().Add(returnTime)
	}
	restored := loadedBefore && f.topic.Era() != eraBefore
	if restored {
		f.handleRestore()
	}
	if f.unsaved == nil || restored {
		f.unsaved = map[string]wire.FeedRecord{}
		f.changes = map[int]bool{}
	}
	if restored {
		// What was saved after the copy was made is gone.
		for _, record := range f.topic.Records() {
			f.unsaved[record.Key] = record
		}
	}
	changed = restored
	for _, record := range f.applyRecords(newer) {
		changed = true
		f.unsaved[record.Key] = record
		f.changes[record.Offset] = true
	}
	if !gap && !ignored && update.Era == f.topic.Era() {
		f.readSchedule.MarkCurrent(currentAt)
	}
	f.forgetTombstones()
	for offset := range f.changes {
		if offset < f.topic.Next()-changeHistoryOffsets {
			delete(f.changes, offset)
		}
	}
	return changed, gap
}

// forgetTombstones removes the unsaved tombstones that the topic has forgotten. A node that isn't the reader saves none.
// The caller must hold the lock.
func (f *follower) forgetTombstones() {
	if len(f.unsaved) <= feed.MaxTombstones {
		return
	}
	maps.DeleteFunc(f.unsaved, func(key string, record wire.FeedRecord) bool {
		return record.Value == "" && !f.topic.Has(key)
	})
}

// handleRestore treats the restore as an outage that has just ended: what the others wrote since the copy was made is
// written again within the same time. The caller must hold the lock.
func (f *follower) handleRestore() {
	f.logger.Warn().Str("decision", "feed").Str("topic", f.topic.Name).Int("era", f.topic.Era()).
		Int("offset", f.topic.Next()).
		Msg("store was restored from an older copy; newer records are kept until they are written again")
	f.onStoreUnreachable()
	f.onStoreReachable()
}

// handleUpdate merges an update that a peer has pushed; gap reports that records are missing and the whole topic must be
// fetched from that peer.
func (f *follower) handleUpdate(update wire.FeedUpdate) (gap bool) {
	f.hear()
	update.Records = f.readable(update.Records)
	return f.applyUpdate(update, time.Now().Add(-ageOf(update)))
}

// handleSnapshot merges a snapshot that a peer has returned to a fetch which began at a time. It is as old as it was at the peer,
// and of unknown age if the peer doesn't tell.
func (f *follower) handleSnapshot(update wire.FeedUpdate, askedAt time.Time) {
	update.Records = f.readable(update.Records)
	currentAt := time.Time{}
	if update.AgeMs != nil {
		currentAt = askedAt.Add(-ageOf(update))
	}
	if before := f.currentAt(); before.IsZero() || currentAt.After(before) {
		f.hear()
	}
	f.applyUpdate(update, currentAt)
}

// hear notes that a peer has sent something of the topic.
func (f *follower) hear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readSchedule.MarkHeard(time.Now())
}

// ageOf returns the age that an update tells, 0 if it tells none.
func ageOf(update wire.FeedUpdate) time.Duration {
	if update.AgeMs == nil {
		return 0
	}
	return time.Duration(max(*update.AgeMs, 0)) * time.Millisecond
}

// applyUpdate merges an update that is current as of a time for this node alone.
func (f *follower) applyUpdate(update wire.FeedUpdate, currentAt time.Time) (gap bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if currentAt.After(f.failedAt) {
		// The update shows that the store is reachable, even if this node's own read failed.
		f.onStoreReachable()
	}
	_, gap = f.merge(update, currentAt)
	return gap
}

func (f *follower) loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic.Loaded()
}

func (f *follower) era() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic.Era()
}

func (f *follower) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readSchedule.Age(now)
}

// currentAt returns when the topic was last read, by this node or by the peer that sent it an update.
func (f *follower) currentAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readSchedule.CurrentAt()
}

// wasCurrent reports whether the topic was known to be current at a time or later.
func (f *follower) wasCurrent(since time.Time) bool {
	return !f.currentAt().Before(since)
}

// isUnavailable reports whether the store has answered the last read that the topic can't be read.
func (f *follower) isUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeAnswered
}

func (f *follower) due(order feed.Order, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readSchedule.Due(order, now)
}

// readDue reports whether the store has to be read, though this node may ask others first.
func (f *follower) readDue(order feed.Order, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readSchedule.ReadDue(order, now)
}

// backoff returns how long to wait after a failed read before the next one.
func (f *follower) backoff() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readSchedule.Backoff()
}

// retryIn returns how long to wait before the next read after a failed one.
func (f *follower) retryIn(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readSchedule.RetryIn(now)
}

// recordFailure records a failed read of the store, unless the context is done, which made the read fail.
func (f *follower) recordFailure(ctx context.Context, err error, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	f.readSchedule.MarkFailed(now)
	f.failedAt = now
	f.storeAnswered = !errors.Is(err, ErrNoAnswer) && !errors.Is(err, context.DeadlineExceeded)
	f.mu.Unlock()
	f.logReachability(err)
	f.onStoreUnreachable()
}

// logReachability logs when the store becomes unreachable or reachable; err is the error of the read, if any.
func (f *follower) logReachability(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reachable := err == nil
	if f.reachabilityLogged && reachable == f.reachable {
		return
	}
	f.reachabilityLogged = true
	f.reachable = reachable
	if reachable {
		f.logger.Info().Str("step", "read "+f.topic.Name).Str("peer", "store").Msg("dependency reached: store")
		return
	}
	f.logger.Warn().Err(err).Str("step", "read "+f.topic.Name).Str("peer", "store").Msg("dependency lost: store")
}
