package catalog

import (
	"time"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
)

// Precedences of the entries of one boot of an upstream: it never accepts requests again once it is leaving.
const (
	precedenceReady = iota
	precedenceLeaving
)

// rankUpstream ranks an entry by its boot, then by whether the upstream is leaving. A removed upstream ranks above all:
// it stays out until it writes again.
func (s *Service) rankUpstream(record wire.FeedRecord) feed.Rank {
	row, err := s.DecodeUpstream(record.Key, []byte(record.Value))
	switch {
	case record.Value == "" || err != nil:
		return feed.HighestRank
	case row.State == replica.StateLeaving:
		return feed.Rank{
			Version:    row.Boot,
			Precedence: precedenceLeaving,
		}
	}
	return feed.Rank{
		Version:    row.Boot,
		Precedence: precedenceReady,
	}
}

// storeUnreachable tells the roster, whose registry is the store, to hold removals.
func (s *Service) storeUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RegistryUnavailable()
}

// storeReachable tells the roster that the store was read by this node or by a peer.
func (s *Service) storeReachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RegistryAvailable(time.Now())
}

// applyUpstreams applies the entries of upstreams and returns the records that are not just heartbeats. The list is
// published for the first time even if it is empty.
func (s *Service) applyUpstreams(records []wire.FeedRecord) (changed []wire.FeedRecord) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	needsPublish := !s.upstreamsLoaded.Load()
	for _, record := range records {
		updated := s.applyUpstream(record, now)
		needsPublish = needsPublish || updated
		if updated || record.Value == "" {
			changed = append(changed, record)
		}
	}
	if needsPublish {
		s.publish()
		s.upstreamsLoaded.Store(true)
	}
	return changed
}

// applyUpstream applies the entry of one upstream and reports whether the list changed. An upstream whose entry is
// invalid is removed; each error is logged once.
func (s *Service) applyUpstream(record wire.FeedRecord, now time.Time) bool {
	if record.Value == "" {
		delete(s.decodeErrors, record.Key)
		return s.roster.Remove(record.Key, now)
	}
	row, err := s.DecodeUpstream(record.Key, []byte(record.Value))
	if err == nil {
		delete(s.decodeErrors, record.Key)
		return s.roster.Put(row)
	}
	if s.decodeErrors[record.Key] != err.Error() {
		s.decodeErrors[record.Key] = err.Error()
		s.Logger.Warn().Err(err).Str("decision", "upstreams").Int("offset", record.Offset).Msg("invalid upstream entry")
	}
	return s.roster.Remove(record.Key, now)
}

// applyHeldRemovals carries out the removals that were held after an outage of the store and are due.
func (s *Service) applyHeldRemovals() {
	readAt := s.upstreams.currentAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.Tick(readAt) {
		s.publish()
	}
}

// publish updates the table from the list and logs the changes; the caller must hold the lock.
func (s *Service) publish() {
	rows := s.roster.Upstreams()
	before := s.Table.Load()
	for _, row := range rows {
		known, found := before.Replica(row.Name)
		if found && known.Leaving() == (row.State == replica.StateLeaving) && known.Boot() == row.Boot {
			continue
		}
		s.Logger.Info().
			Str("decision", "upstreams").
			Str("upstream", row.Name).
			Str("pool", row.Pool).
			Str("version", row.Version).
			Str("state", row.State).
			Msg("upstream added or updated")
	}
	s.Table.Update(rows)
	after := s.Table.Load()
	for _, pool := range before.PoolNames() {
		for _, gone := range before.PoolReplicas(pool) {
			if _, found := after.Replica(gone.Name()); !found {
				s.Logger.Info().Str("decision", "upstreams").Str("upstream", gone.Name()).Msg("upstream removed")
			}
		}
	}
	s.OnUpstreamsChange()
}
