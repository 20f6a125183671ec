package catalog

import (
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
)

func (s *Service) upstreamsLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RegistryUnavailable()
}

func (s *Service) upstreamsReached() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RegistryAvailable(time.Now())
}

// takeUpstreams leaves out heartbeats, which change nothing.
func (s *Service) takeUpstreams(newer []wire.FeedRecord) (news []wire.FeedRecord) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.listed.Load()
	for _, record := range newer {
		took := s.takeUpstream(record, now)
		changed = changed || took
		if took || record.Value == "" {
			news = append(news, record)
		}
	}
	if changed {
		s.publish()
		s.listed.Store(true)
	}
	return news
}

func (s *Service) takeUpstream(record wire.FeedRecord, now time.Time) bool {
	if record.Value == "" {
		return s.roster.Remove(record.Key, now)
	}
	row, err := s.DecodeUpstream(record.Key, []byte(record.Value))
	if err == nil {
		delete(s.faulty, record.Key)
		return s.roster.Put(row)
	}
	if s.faulty[record.Key] != err.Error() {
		s.faulty[record.Key] = err.Error()
		s.Logger.Warn().Err(err).Str("decision", "upstreams").Int("offset", record.Offset).Msg("entry names no upstream to use")
	}
	return s.roster.Remove(record.Key, now)
}

// tick carries out removals that were held.
func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Tick(now) {
		s.publish()
	}
}

// publish installs the list and logs what changed; the lock must be held.
func (s *Service) publish() {
	rows := s.roster.Upstreams()
	before := s.Table.Load()
	for _, row := range rows {
		known, held := before.Replica(row.Name)
		if held && known.Leaving() == (row.State == replica.StateLeaving) && known.Boot() == row.Boot {
			continue
		}
		s.Logger.Info().Str("decision", "upstreams").Str("upstream", row.Name).Str("pool", row.Pool).Str("state", row.State).Msg("upstream listed")
	}
	s.Table.Update(rows)
	after := s.Table.Load()
	for _, pool := range before.PoolNames() {
		for _, gone := range before.PoolReplicas(pool) {
			if _, held := after.Replica(gone.Name()); !held {
				s.Logger.Info().Str("decision", "upstreams").Str("upstream", gone.Name()).Msg("upstream gone")
			}
		}
	}
	s.OnUpstreamsChange()
}
