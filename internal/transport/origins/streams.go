package origins

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
)

const (
	// logReadInterval is the least time between two reads of the log of streams by one node.
	logReadInterval = 500 * time.Millisecond
	// writerDelay is how long a node has been the one to write before it does. Nodes that start together agree on one within
	// that time; two that write at once overwrite each other's batches.
	writerDelay = time.Second
)

// loggedPools returns the pools whose streams are logged in the store, sorted: those that two or more versions have served
// within the take-up bound. The caller must hold the lock.
func (s *Service) loggedPools(now time.Time) (pools []string) {
	if s.StreamLog == nil {
		return nil
	}
	bounds := s.bounds()
	for _, pool := range slices.Sorted(maps.Keys(bounds)) {
		if len(s.sightings.Sighted(pool, origin.Window(bounds[pool]), now).Versions) > 1 {
			pools = append(pools, pool)
		}
	}
	return pools
}

// updateWriter notes which node reads the store for all, and appends streams and versions to it; the caller must hold the lock.
// Where no pool can have take-ups nothing is written, and the nodes need not be ranked.
func (s *Service) updateWriter(now time.Time) {
	before := s.writer
	switch {
	case len(s.bounds()) == 0:
		s.writer = ""
	case s.Writer != nil:
		s.writer = s.Writer()
	}
	if s.writer != before {
		s.writerSince = now
	}
}

// isWriter reports whether this node writes to the store for all; the caller must hold the lock.
func (s *Service) isWriter(now time.Time) bool {
	return s.writer != "" && s.writer == s.Name && now.Sub(s.writerSince) >= writerDelay
}

// updateLog begins or ends the log of the streams of pools; the caller must hold the lock.
func (s *Service) updateLog(now time.Time) {
	pools := s.loggedPools(now)
	s.announcer.SetWriter(s.writer, pools)
	s.emptyEarly(now)
	if now.Sub(s.logReadAt) >= origin.DefaultWindow {
		s.logged = nil
	}
	if !s.isWriter(now) {
		s.writing = nil
		s.log.Retire()
		return
	}
	if len(s.writing) == 0 && now.Sub(s.logReadAt) >= logReadInterval {
		s.log.Forget() // another node may have written since
	}
	before := s.writing
	s.writing = make(map[string]time.Time, len(pools))
	for _, pool := range pools {
		if since, wrote := before[pool]; wrote {
			s.writing[pool] = since
			continue
		}
		s.writing[pool] = now
		s.logStreams(s.registry.Recent(pool, origin.DefaultWindow, now))
	}
}

// logStreams appends those streams to the log that this node has to write; the caller must hold the lock.
func (s *Service) logStreams(reports []origin.Report) {
	for _, report := range reports {
		if _, writes := s.writing[report.Origin.Pool]; writes {
			s.log.Add(report)
		}
	}
	s.scheduleLog(time.Now())
}

// flushLog begins the log of pools that have become logged, and returns once the streams that this node knows of are in it, or after
// flushTimeout.
func (s *Service) flushLog(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	s.updateLog(now)
	s.mu.Unlock()
	s.await(ctx, flushTimeout, func(time.Time) bool { return s.log.Pending() == 0 || s.loggedAt.After(now) })
}

// scheduleLog makes the streams that wait be appended once it is time; the caller must hold the lock.
func (s *Service) scheduleLog(now time.Time) {
	if s.log.Pending() > 0 && !s.logScheduled {
		s.logScheduled = s.tasks.After(s.log.DueAt().Sub(now), s.appendLog)
	}
}

// appendLog appends the streams that wait to the log, and again later if it can't be done now.
func (s *Service) appendLog(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isWriter(now) {
		s.log.Retire()
		s.logScheduled = false
		return
	}
	if !s.log.Known() {
		s.startLogRead(now)
		s.tasks.After(waitPoll, s.appendLog)
		return
	}
	if batch, slot, due := s.log.Due(now); due && s.appendBatch(ctx, batch, slot) {
		s.loggedAt = now
		s.notifyLocked()
	}
	s.logScheduled = false
	s.scheduleLog(time.Now())
}

// appendBatch appends a batch to the log, with the lock released meanwhile, and reports whether that was done; the caller must hold
// the lock.
func (s *Service) appendBatch(ctx context.Context, batch []origin.Report, slot int) bool {
	value, err := encodeStreams(batch)
	emptied := s.log.Excess(len(value))
	records := []wire.FeedRecord{{
		Key:   strconv.Itoa(slot),
		Value: value,
	}}
	for _, oldest := range emptied {
		records = append(records, wire.FeedRecord{Key: strconv.Itoa(oldest)})
	}
	if err == nil {
		s.mu.Unlock()
		err = s.StreamLog.Save(ctx, records)
		s.mu.Lock()
	}
	s.log.Done(err == nil, len(value), emptied, time.Now())
	if err != nil {
		s.Logger.Warn().Err(err).Str("step", "write streams").Str("peer", "store").Int("streams", len(batch)).
			Msg("origins of streams not written; will retry")
	}
	return err == nil
}

// startLogRead reads the log unless a read is in flight or the last one was too short ago; the caller must hold the lock.
func (s *Service) startLogRead(now time.Time) {
	if s.readingLog || now.Sub(s.logAskedAt) < logReadInterval {
		return
	}
	s.readingLog = s.tasks.Go(func(ctx context.Context) { s.readLog(ctx, now) })
	s.logAskedAt = now
}

func (s *Service) readLog(ctx context.Context, sent time.Time) {
	batch, err := s.StreamLog.Newest(ctx)
	var log storedLog
	if err == nil || errors.Is(err, catalog.ErrNoTopic) {
		log, err = decodeLog(batch.Records)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.notifyLocked()
	s.readingLog = false
	if err != nil {
		s.Logger.Warn().Err(err).Str("step", "read streams").Str("peer", "store").Msg("origins of streams not read")
		return
	}
	s.logged, s.logReadAt = log.streams, sent
	s.earlyKeys = log.early
	if !s.log.Known() {
		s.log.Continue(log.sizes, log.last)
	}
	s.Logger.Info().Str("decision", "versions").Int("streams", len(log.streams)).Msg("origins of streams read")
}

// findLogged returns where a stream began by the log in the store. The log is read if that was not done since the caller came.
func (s *Service) findLogged(ctx context.Context, search *search) origin.Answer {
	var answer origin.Answer
	s.await(ctx, time.Until(search.deadline), func(now time.Time) bool {
		answer = s.logged[search.stream]
		if answer.Known || answer.Ambiguous || !s.mayBeLogged(now) || !s.logReadAt.Before(search.came) {
			return true
		}
		s.startLogRead(now)
		return false
	})
	return answer
}

// mayBeLogged reports whether the log may hold streams: more than one version has served, or it is not known which ones. The
// caller must hold the lock.
func (s *Service) mayBeLogged(now time.Time) bool {
	return s.StreamLog != nil && len(s.bounds()) > 0 && (!s.sightings.Covered() || len(s.loggedPools(now)) > 0)
}
