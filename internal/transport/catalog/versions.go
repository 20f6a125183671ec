package catalog

import (
	"context"
	"slices"
	"time"

	"lagoongw/internal/protocol/wire"
)

// VersionRecord records the software versions of upstreams before these are listed.
type VersionRecord interface {
	// Needed reports whether any version may have to be recorded.
	Needed() bool
	// Recorded reports whether a version of a pool is recorded, or need not be.
	Recorded(pool, version string) bool
	// Listed notes versions by pool that are about to be listed.
	Listed(versions map[string][]string)
	// Admit records versions by pool and returns once that is done, or failed for too long.
	Admit(ctx context.Context, versions map[string][]string)
}

// admit applies an update that was read from the store once the versions in it are recorded. Records of recorded versions are
// applied at once, unless the topic is not loaded yet: the first list is applied as a whole. Peers' updates were admitted by
// the node that read them.
func (f *follower) admit(ctx context.Context, update wire.FeedUpdate, apply func(update wire.FeedUpdate, now time.Time)) {
	now := time.Now()
	known, rows := f.divide(update)
	if len(rows) == 0 {
		apply(update, now)
		return
	}
	versions := versionsOf(rows)
	f.versions.Listed(versions)
	if !f.loaded() {
		f.versions.Admit(ctx, versions)
		apply(update, now)
		return
	}
	apply(known, now)
	f.withhold(rows)
	f.tasks.Go(func(ctx context.Context) {
		f.versions.Admit(ctx, versions)
		apply(update, f.currentAt())
	})
}

// divide returns an update without the records of versions that are not recorded, and these versions' upstreams. The update
// ends before the first such record, so that a peer that misses the later update sees that records are missing. If it holds the
// whole topic, the former records stay in it: those that it lacks are removed.
func (f *follower) divide(update wire.FeedUpdate) (known wire.FeedUpdate, rows []wire.Machine) {
	if f.versions == nil || !f.versions.Needed() {
		return update, nil
	}
	known = update
	known.Records = nil
	for _, record := range update.Records {
		row, held := f.held(record)
		if !held {
			known.Records = append(known.Records, record)
			continue
		}
		rows = append(rows, row)
		known.Next = min(known.Next, record.Offset)
		if former, listed := f.kept(record.Key, update.Era); update.Whole && listed {
			known.Records = append(known.Records, former)
		}
	}
	return known, rows
}

func (f *follower) kept(key string, era int) (record wire.FeedRecord, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic.Kept(key, era)
}

// held reports whether the version of an upstream's entry must be recorded before the entry is applied. An entry that repeats
// the one in force need not be looked at.
func (f *follower) held(record wire.FeedRecord) (row wire.Machine, held bool) {
	f.mu.Lock()
	current := f.topic.Value(record.Key)
	f.mu.Unlock()
	if record.Value == "" || record.Value == current {
		return row, false
	}
	row, err := f.decode(record.Key, []byte(record.Value))
	return row, err == nil && !f.versions.Recorded(row.Pool, row.Version)
}

func versionsOf(rows []wire.Machine) map[string][]string {
	versions := map[string][]string{}
	for _, row := range rows {
		if !slices.Contains(versions[row.Pool], row.Version) {
			versions[row.Pool] = append(versions[row.Pool], row.Version)
		}
	}
	return versions
}

// withhold keeps new requests from upstreams that are listed with another version than they have now, which is not recorded
// yet: streams of the former version must not go on there.
func (s *Service) withhold(rows []wire.Machine) {
	listed := s.Table.Load()
	for _, row := range rows {
		if former, found := listed.Replica(row.Name); found && former.Version() != row.Version {
			former.MarkLeaving()
		}
	}
}
