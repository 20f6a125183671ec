package origins

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/transport/catalog"
)

var errNotRecorded = eris.New("versions not recorded in time")

const (
	// admitTimeout is how long an upstream of a new version waits for its version to be recorded.
	admitTimeout = time.Second
	// callerTimeout is how long a caller who takes a stream up waits for a read of the store.
	callerTimeout = 300 * time.Millisecond
	// tellTimeout is how long a version waits for the other nodes to be told of it. A round trip between regions takes less; a
	// node that does not answer by then reads the list of upstreams itself before it answers a caller.
	tellTimeout = 250 * time.Millisecond
	// flushTimeout is how long a version waits for the streams of the former one to be logged: a read and an append.
	flushTimeout = 250 * time.Millisecond
	// logBeginTime is how long after the log of a pool began it may lack streams that had begun before.
	logBeginTime = 2 * (tellTimeout + flushTimeout)
	// maxReadDelay is the time from a read of the list by a peer until this node knows of it.
	maxReadDelay = time.Second
	// refreshInterval is the least time between two reads of the list of upstreams for callers by a node of a site of up to
	// refreshNodes. On larger ones it grows with the square of their number: so does what all nodes together would read of a
	// list that is as much longer.
	refreshInterval = 200 * time.Millisecond
	refreshNodes    = 64
	// stableTime is the time after a node came, or was in touch again, until the versions that it may have listed alone are
	// known to all: two regular reads of the list.
	stableTime = 4 * time.Second
	// readTime is the time that a read of the store takes at most while it serves: a call takes up to a few hundred milliseconds.
	readTime = 400 * time.Millisecond
	// contactDelay is the time after which an origin that nobody knew is worth another search: its node may have been cut off.
	contactDelay = time.Second
	// removalReadAge is the age up to which a read of the record serves for removals: nodes that started together have each
	// written entries for a version, of which they told no other.
	removalReadAge = 2 * time.Second
	// recordAge is the age up to which a read of the record serves a caller. An upstream whose version came later is listed for
	// longer than that, and the list is read after the caller came.
	recordAge = time.Second
	// postponedTime is how long after a list with postponed versions the record is read for each caller.
	postponedTime = 10 * time.Second
	// waitPoll is the time between two checks of a wait; calls that failed are repeated at one of them.
	waitPoll = 50 * time.Millisecond
)

// Needed reports whether versions may have to be recorded: some pool can have take-ups, or the routes are not known yet.
func (s *Service) Needed() bool {
	if s.VersionRecord == nil {
		return false
	}
	bounds := s.bounds()
	return bounds == nil || len(bounds) > 0
}

// Recorded reports whether upstreams of a version may be listed without a wait: no stream of the pool can be taken up, or the
// version is in the record.
func (s *Service) Recorded(pool, version string) bool {
	if s.VersionRecord == nil {
		return true
	}
	bounds := s.bounds()
	bound, takenUp := bounds[pool]
	if !takenUp {
		return bounds != nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded(pool, version, bound, time.Now())
}

// recorded reports whether a version is in the record; the caller must hold the lock. A version that was not seen of late may
// have been removed from it.
func (s *Service) recorded(pool, version string, bound time.Duration, now time.Time) bool {
	return s.record.Has(pool, version) && s.sightings.Fresh(pool, version, bound, now)
}

// Load returns once the record and the routes are known, or after admitTimeout.
func (s *Service) Load(ctx context.Context) {
	if s.VersionRecord == nil {
		return
	}
	s.await(ctx, admitTimeout, func(now time.Time) bool {
		switch {
		case s.bounds() == nil:
			return false
		case !s.sightings.Covered():
			s.startRecordRead(now)
			return false
		}
		return true
	})
}

// Postponed notes that the list in the store has upstreams of a version that this node does not list yet. Another node may, which
// has recorded the version then.
func (s *Service) Postponed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.postponedAt = time.Now()
}

// Admit returns once the versions of a node's upstreams are recorded, by pool, or after admitTimeout. The node must not list
// upstreams whose versions are not recorded.
func (s *Service) Admit(ctx context.Context, versions map[string][]string) {
	if s.VersionRecord == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	s.askWriter(ctx, versions)
	if !s.await(ctx, admitTimeout, func(now time.Time) bool { return s.admitted(versions, now) }) {
		s.Logger.Warn().Str("decision", "versions").Interface("versions", versions).
			Msg("versions not recorded in time; their upstreams wait")
	}
}

// RecordFor records versions for another node, and returns an error if that was not done within admitTimeout.
func (s *Service) RecordFor(ctx context.Context, versions map[string][]string) error {
	if s.VersionRecord == nil ||
		!s.await(ctx, admitTimeout, func(now time.Time) bool { return s.admitted(versions, now) }) {
		return errNotRecorded
	}
	return nil
}

// askWriter has the node that reads the store for all record versions, if that is another one: several nodes that read a list for
// callers would each write a version that has just come.
func (s *Service) askWriter(ctx context.Context, versions map[string][]string) {
	if s.Writer == nil || s.AskRecord == nil {
		return
	}
	writer := s.Writer()
	s.mu.Lock()
	missing := s.missing(versions, time.Now())
	s.mu.Unlock()
	if writer == s.Name || len(missing) == 0 || s.AskRecord(ctx, writer, missing) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sightings.Confirm(missing, time.Now())
}

// awaitList waits for the list of upstreams to be read after a caller came, and reports whether it was.
func (s *Service) awaitList(ctx context.Context, search *search) bool {
	if !s.awaitRefresh(ctx, time.Until(search.deadline), search.came) {
		return false
	}
	s.observe(time.Now())
	s.awaitCover(ctx, search)
	return true
}

// awaitCover waits for the record to be read that covers the time before this node's observation.
func (s *Service) awaitCover(ctx context.Context, search *search) {
	s.await(ctx, time.Until(search.deadline), func(now time.Time) bool {
		if s.sightings.Covered() {
			return true
		}
		s.startRecordRead(now)
		return false
	})
}

// AwaitList waits for the list of upstreams to be read since a time, by this node for its callers or by ListReadAt, and reports
// whether it was within the time that a caller waits.
func (s *Service) AwaitList(ctx context.Context, since time.Time) bool {
	return s.ListReadAt != nil && s.ListReadAt().After(since.Add(maxReadDelay)) || s.awaitRefresh(ctx, callerTimeout, since)
}

// awaitRefresh waits for this node to read the list of upstreams since a time, and reports whether it did within the timeout.
func (s *Service) awaitRefresh(ctx context.Context, timeout time.Duration, since time.Time) bool {
	return s.Refresh == nil || s.await(ctx, timeout, func(now time.Time) bool {
		if !s.refreshedAt.Before(since) {
			return true
		}
		s.startRefresh(now)
		return false
	})
}

// startRefresh reads the list of upstreams unless that is being done, or was too short ago; the caller must hold the lock.
func (s *Service) startRefresh(now time.Time) {
	if s.refreshing || now.Sub(s.refreshAskedAt) < refreshPause(len(s.Nodes())) {
		return
	}
	s.refreshAskedAt = now
	s.refreshing = s.tasks.Go(func(ctx context.Context) {
		err := s.Refresh(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refreshing = false
		if err == nil {
			s.refreshedAt = now
		}
		s.notifyLocked()
	})
}

// refreshPause returns the least time between two reads of the list by a node that knows of so many.
func refreshPause(nodes int) time.Duration {
	if nodes <= refreshNodes {
		return refreshInterval
	}
	return refreshInterval * time.Duration(nodes*nodes) / (refreshNodes * refreshNodes)
}

// RetryAfter returns when a caller may come back whose stream has no known origin: once this node has read what it lacks, or
// when another node that knows may be in touch again.
func (s *Service) RetryAfter() time.Duration {
	_, current := s.Versions()
	var refreshIn time.Duration
	if !current && s.RefreshIn != nil {
		refreshIn = s.RefreshIn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case !current:
		return refreshIn + readTime
	case s.VersionRecord != nil && !s.sightings.Covered():
		return s.record.RetryIn(now) + readTime
	}
	return contactDelay
}

// await waits until a condition holds, and reports whether it does within the timeout. The condition is checked with the lock
// held.
func (s *Service) await(ctx context.Context, timeout time.Duration, holds func(now time.Time) bool) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		done, changed := holds(time.Now()), s.changedLocked()
		s.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-time.After(waitPoll):
		case <-deadline.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// changedLocked returns a channel that is closed at the next change; the caller must hold the lock.
func (s *Service) changedLocked() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notifyLocked wakes what waits for a change; the caller must hold the lock.
func (s *Service) notifyLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// missing returns the versions that have to be recorded and are not; the caller must hold the lock.
func (s *Service) missing(versions map[string][]string, now time.Time) map[string][]string {
	bounds := s.bounds()
	missing := map[string][]string{}
	for pool, names := range versions {
		bound, takenUp := bounds[pool]
		for _, name := range names {
			if takenUp && !s.recorded(pool, name, bound, now) {
				missing[pool] = append(missing[pool], name)
			}
		}
	}
	return missing
}

// admitted makes the versions be recorded and reports whether they are; the caller must hold the lock.
func (s *Service) admitted(versions map[string][]string, now time.Time) bool {
	if s.bounds() == nil {
		return false
	}
	s.record.NewKey = newKey
	missing := s.missing(versions, now)
	if len(missing) == 0 {
		return true
	}
	if !s.sightings.Covered() {
		s.startRecordRead(now)
		return false
	}
	s.sightings.Note(missing, now)
	for pool, names := range missing {
		for _, name := range names {
			if !s.record.BeingWritten(pool, name, now) {
				s.record.Want(pool, name)
			}
		}
	}
	s.startAppend(now)
	return false
}

// Serving records the versions that this node lists by pool; its list has just been confirmed.
func (s *Service) Serving(versions map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sightings.Confirm(versions, time.Now())
	s.notifyLocked()
}

// Listed records versions that are about to be listed by pool.
func (s *Service) Listed(versions map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sightings.Note(versions, time.Now())
}

// ToldVersions records entries that another node writes to the record. If a version comes with which streams are logged, it returns
// once the writer was told of those that began at this node, or after tellTimeout.
func (s *Service) ToldVersions(ctx context.Context, entries []origin.Entry) {
	now := time.Now()
	s.mu.Lock()
	s.record.Told(entries, now)
	comes := false
	for _, e := range entries {
		if !e.Gone {
			s.sightings.Note(map[string][]string{e.Pool: {e.Version}}, now)
			comes = comes || !e.Confirmed
		}
	}
	s.updateWriter(now)
	writer, logged := s.writer, s.loggedPools(now)
	s.announcer.SetWriter(writer, logged)
	due := s.announcer.Due(now)
	s.mu.Unlock()
	s.tell(due)
	if comes && len(logged) > 0 {
		s.await(ctx, tellTimeout, func(time.Time) bool { return !s.announcer.Owes(writer) })
	}
}

// maintainRecord reads the record if this node has not, and writes what the node that reads the store for all has to; the
// caller must hold the lock.
func (s *Service) maintainRecord(listed map[string][]string, current bool, now time.Time) {
	bounds := s.bounds()
	if s.VersionRecord == nil || len(bounds) == 0 {
		return
	}
	if !s.sightings.Covered() {
		if current {
			s.startRecordRead(now)
		}
		return
	}
	if s.isWriter(now) && current {
		recorded := s.record.Versions()
		for pool, bound := range bounds {
			s.maintainPool(pool, origin.Window(bound), listed[pool], recorded[pool], now)
		}
	}
	s.startAppend(now)
}

func (s *Service) maintainPool(pool string, window time.Duration, listed, recorded []string, now time.Time) {
	for _, version := range listed {
		if !s.record.Has(pool, version) && !s.record.BeingWritten(pool, version, now) {
			s.record.Want(pool, version)
		}
	}
	sighted := s.sightings.Sighted(pool, window, now)
	if sighted.Observed < window {
		return
	}
	for _, version := range recorded {
		if slices.Contains(sighted.Versions, version) {
			continue
		}
		if now.Sub(s.recordReadAt) > removalReadAge {
			s.startRecordRead(now)
			return
		}
		s.record.Remove(pool, version)
	}
	if !s.record.Complete(pool) {
		s.record.WantAll(pool, sighted.Versions)
	}
}

// startRecordRead reads the record unless a read is in flight or a failed one was too short ago; the caller must hold the lock.
func (s *Service) startRecordRead(now time.Time) {
	if s.readingRecord || !s.record.MayCall(now) {
		return
	}
	s.readingRecord = s.tasks.Go(func(ctx context.Context) { s.readRecord(ctx, now) })
}

func (s *Service) readRecord(ctx context.Context, sent time.Time) {
	batch, err := s.VersionRecord.Newest(ctx)
	var entries []origin.Entry
	if err == nil || errors.Is(err, catalog.ErrNoTopic) {
		entries, err = decodeEntries(batch.Records)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readingRecord = false
	defer s.notifyLocked()
	if err != nil {
		s.record.Failed(now)
		s.Logger.Warn().Err(err).Str("step", "read versions").Str("peer", "store").Msg("record of versions not read; will retry")
		return
	}
	s.record.Read(entries, batch.Era)
	s.recordReadAt, s.recordSentAt = now, sent
	if s.sightings.Covered() {
		s.sightings.Learn(s.record.Versions(), now)
		return // the others are known from this node's observation
	}
	complete := map[string]bool{}
	for pool := range s.bounds() {
		complete[pool] = s.record.Complete(pool)
	}
	// A read in an earlier era, or one of a missing topic that told no era, may lack versions that have served. Entries that the
	// node is told of later don't change that, since earlier ones may not have reached it.
	era := s.record.Era()
	s.sightings.Cover(s.record.Versions(), func(pool string) bool { return complete[pool] && s.record.Era() == era }, sent, now)
	s.Logger.Info().Str("decision", "versions").Interface("versions", s.record.Versions()).Int("era", batch.Era).
		Interface("complete", complete).Msg("record of versions read")
	if len(s.loggedPools(now)) > 0 {
		s.startLogRead(now)
	}
}

// startAppend appends the entries that are due; the caller must hold the lock.
func (s *Service) startAppend(now time.Time) {
	due := s.record.Due(now)
	if len(due) == 0 {
		return
	}
	beginsLog := s.beginsLog(due, now)
	if beginsLog && !s.log.Known() {
		s.startLogRead(now)
	}
	s.tasks.Go(func(ctx context.Context) { s.appendEntries(ctx, due, beginsLog) })
}

// beginsLog reports whether the log of this node has to hold the streams of a pool once one of the entries is recorded; the caller
// must hold the lock.
func (s *Service) beginsLog(entries []origin.Entry, now time.Time) bool {
	return s.isWriter(now) && slices.ContainsFunc(entries, func(e origin.Entry) bool {
		since, writes := s.writing[e.Pool]
		return !e.Gone && s.isLogged(e.Pool, now) && (!writes || now.Sub(since) < logBeginTime)
	})
}

// appendEntries writes entries to the record and tells all nodes, which then know of a new version before a stream begins
// there. They are told again once the store has accepted the entries. If a second version comes to a pool, its streams are logged
// first: once the record holds both versions, only the log shows at which of them a stream began.
func (s *Service) appendEntries(ctx context.Context, entries []origin.Entry, beginsLog bool) {
	tells, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	told := s.tellEntries(entries)
	if beginsLog {
		select {
		case <-told:
		case <-tells.Done():
		}
		s.flushLog(ctx)
	}
	records, err := encodeEntries(entries)
	if err == nil {
		err = s.VersionRecord.Save(ctx, records)
	}
	select {
	case <-told:
	case <-tells.Done():
	}
	if err == nil {
		s.tellEntries(origin.Confirmed(entries))
	}
	s.logAppend(entries, err)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Done(err == nil, now)
	for _, e := range entries {
		if err == nil && !e.Gone {
			s.sightings.Confirm(map[string][]string{e.Pool: {e.Version}}, now)
		}
	}
	s.startAppend(now)
	s.notifyLocked()
}

// tellEntries tells all other nodes of entries of the record without waiting for them; the channel is closed after the
// last answer.
func (s *Service) tellEntries(entries []origin.Entry) <-chan struct{} {
	var group sync.WaitGroup
	for _, node := range s.Nodes() {
		if node.Name == s.Name || s.TellVersions == nil {
			continue
		}
		group.Add(1)
		started := s.tasks.Go(func(ctx context.Context) {
			defer group.Done()
			if err := s.TellVersions(ctx, node.Name, entries); err != nil {
				s.Logger.Debug().Err(err).Str("step", "tell versions").Str("peer", node.Name).Msg("peer call failed")
			}
		})
		if !started {
			group.Done()
		}
	}
	told := make(chan struct{})
	go func() {
		group.Wait()
		close(told)
	}()
	return told
}

func (s *Service) logAppend(entries []origin.Entry, err error) {
	for _, e := range entries {
		entry := s.Logger.Info()
		message := "version recorded"
		switch {
		case err != nil:
			entry = s.Logger.Warn().Err(err).Str("step", "write versions").Str("peer", "store")
			message = "version not recorded; will retry"
		case e.Gone:
			message = "version that has not served for long removed from the record"
		}
		entry.Str("decision", "versions").Str("pool", e.Pool).Str("version", e.Version).Int("era", e.Era).Msg(message)
	}
}

func newKey() string { return rand.Text() }
