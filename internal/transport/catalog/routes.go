package catalog

import (
	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/protocol/wire"
)

// rankRoutes ranks a record of the routes by its version, which only increases; the offsets go back when the store is
// restored. Any other record has the lowest rank.
func (s *Service) rankRoutes(record wire.FeedRecord) feed.Rank {
	if record.Key != s.RoutesKey || record.Value == "" {
		return feed.LowestRank
	}
	version, err := s.DecodeRoutesVersion([]byte(record.Value))
	if err != nil {
		return feed.LowestRank
	}
	return feed.Rank{Version: version}
}

// applyRoutes installs the routes found among the records; every record counts as a change.
func (s *Service) applyRoutes(records []wire.FeedRecord) (changed []wire.FeedRecord) {
	for _, record := range records {
		if record.Key == s.RoutesKey && record.Value != "" {
			s.install(record)
		}
	}
	return records
}

// install puts the routes of a record into force, unless the version in force is the same or a newer one.
func (s *Service) install(record wire.FeedRecord) {
	table, faults, err := s.DecodeRoutes([]byte(record.Value))
	if err != nil {
		s.Logger.Error().Err(err).Str("decision", "routes").Int("offset", record.Offset).Msg("routes record skipped")
		s.skipVersion(record)
		return
	}
	for _, fault := range faults {
		s.Logger.Warn().Str("decision", "routes").Int("version", table.Version()).Str("fault", fault).
			Msg("part of the routes skipped")
	}
	before := s.currentRoutes.Load()
	if before != nil && before.Version() >= table.Version() {
		return
	}
	if before != nil {
		table = table.Sharing(before)
	}
	s.currentRoutes.Store(table)
	s.Logger.Info().Str("decision", "routes").Int("version", table.Version()).Int("offset", record.Offset).
		Msg("routes in force")
}

// skipVersion records that this node can't decode the routes of a record, so that it doesn't fetch their version again.
func (s *Service) skipVersion(record wire.FeedRecord) {
	version, err := s.DecodeRoutesVersion([]byte(record.Value))
	if err != nil {
		return
	}
	s.skippedVersion.Store(max(s.skippedVersion.Load(), int64(version)))
}

// hasVersion reports whether this node has a version of the routes or a newer one, or one that it can't decode.
func (s *Service) hasVersion(version int) bool {
	return version <= max(s.RoutesVersion(), int(s.skippedVersion.Load()))
}

// NoteVersion records that a peer has a version of the routes.
func (s *Service) NoteVersion(version int) {
	for {
		known := s.newestVersion.Load()
		if int64(version) <= known || s.newestVersion.CompareAndSwap(known, int64(version)) {
			return
		}
	}
}

// RoutesOutdated reports whether a peer has newer routes than this node, which it can't have got yet.
func (s *Service) RoutesOutdated() bool { return !s.hasVersion(int(s.newestVersion.Load())) }
