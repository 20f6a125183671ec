package origins

import (
	"context"
	"slices"
	"strconv"
	"time"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/protocol/wire"
)

// logOwn appends a stream that began at this node to the log while no node has been the writer for long enough. Where all nodes
// have started together, nobody else would log the streams of that time. The caller must hold the lock.
func (s *Service) logOwn(report origin.Report, now time.Time) {
	if s.writerSettled(now) || !s.isLogged(report.Origin.Pool, now) {
		return
	}
	s.early.Add(report, now)
	s.scheduleEarly(now)
}

// writerSettled reports whether the same node has been the writer for so long that it appends the streams of all; the caller
// must hold the lock.
func (s *Service) writerSettled(now time.Time) bool {
	return s.writer != "" && now.Sub(s.writerSince) >= writerDelay+origin.LogInterval
}

// isLogged reports whether the streams of a pool are logged; the caller must hold the lock.
func (s *Service) isLogged(pool string, now time.Time) bool {
	return slices.Contains(s.loggedPools(now), pool)
}

func (s *Service) scheduleEarly(now time.Time) {
	if until, waiting := s.early.Waiting(); waiting && !s.earlyScheduled {
		s.earlyScheduled = s.tasks.After(until.Sub(now), s.appendEarly)
	}
}

// appendEarly appends the streams of this node that wait.
func (s *Service) appendEarly(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.earlyScheduled = false
	now := time.Now()
	if s.writerSettled(now) {
		s.early.Retire()
		return
	}
	batch, key, due := s.early.Due(now)
	if !due {
		s.scheduleEarly(now)
		return
	}
	value, err := encodeStreams(batch)
	if err == nil {
		s.mu.Unlock()
		err = s.StreamLog.Save(ctx, []wire.FeedRecord{{
			Key:   strconv.Itoa(key),
			Value: value,
		}})
		s.mu.Lock()
	}
	if err == nil {
		s.earlyAt = time.Now()
	} else {
		s.Logger.Warn().Err(err).Str("step", "write streams").Str("peer", "store").Int("streams", len(batch)).
			Msg("origins of this node's streams not written; will retry")
	}
	now = time.Now()
	s.early.Done(err == nil, len(s.Nodes()), now)
	s.scheduleEarly(now)
}

// emptyEarly removes the batches that this process wrote of its own streams and, if it is the writer, those that it has read, once
// their streams can no longer be taken up; the caller must hold the lock.
func (s *Service) emptyEarly(now time.Time) {
	var keys []int
	if !s.earlyAt.IsZero() && now.Sub(s.earlyAt) >= origin.DefaultWindow {
		keys, s.earlyAt = s.early.Written(), time.Time{}
	}
	if s.isWriter(now) && now.Sub(s.logReadAt) >= origin.DefaultWindow {
		keys, s.earlyKeys = append(keys, s.earlyKeys...), nil
	}
	if len(keys) == 0 {
		return
	}
	var records []wire.FeedRecord
	for _, key := range keys {
		records = append(records, wire.FeedRecord{Key: strconv.Itoa(key)})
	}
	s.tasks.Go(func(ctx context.Context) {
		if err := s.StreamLog.Save(ctx, records); err != nil {
			s.Logger.Warn().Err(err).Str("step", "empty streams").Str("peer", "store").Int("keys", len(records)).
				Msg("old origins of streams not removed")
		}
	})
}
