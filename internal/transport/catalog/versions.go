package catalog

import (
	"context"
	"slices"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/schedule"
)

const (
	// firstListWait is how long the first list of a node waits for versions to be recorded.
	firstListWait = time.Second
	// returnTime is the time in which callers come back whose streams broke off when all nodes were lost. Until then a version that
	// came in the meantime waits, while its pool has others: as long as it is not recorded, all those streams began at former ones.
	returnTime = 3 * time.Second
)

// VersionRecord records the software versions of upstreams before these are listed.
type VersionRecord interface {
	// Needed reports whether any version may have to be recorded.
	Needed() bool
	// Recorded reports whether a version of a pool is recorded, or need not be.
	Recorded(pool, version string) bool
	// Load returns once it is known which versions are recorded, or after too long.
	Load(ctx context.Context)
	// Postponed notes that the list in the store has upstreams of a version which are not to be listed yet.
	Postponed()
	// Listed notes versions by pool that are about to be listed.
	Listed(versions map[string][]string)
	// Admit records versions by pool and returns once that is done, or failed for too long; Recorded tells which.
	Admit(ctx context.Context, versions map[string][]string)
}

// admit applies an update that was read from the store once the versions in it are recorded. Records of recorded versions are
// applied at once, the others wait as long as that takes: streams that began at a version that the store does not know could go on
// at another one. Peers' updates were admitted by the node that read them.
func (f *follower) admit(ctx context.Context, update wire.FeedUpdate, apply func(update wire.FeedUpdate, now time.Time)) {
	now := time.Now()
	known, rows := f.divide(update)
	if len(rows) > 0 && !f.loaded() {
		known, rows = f.admitFirst(ctx, update, now)
	}
	apply(known, now)
	if len(rows) == 0 {
		return
	}
	f.withhold(rows)
	due := versionsOf(f.dueRows(rows, f.serves, now))
	if len(due) == 0 {
		return
	}
	f.versions.Listed(due)
	admission := f.admissions.Add(1)
	f.tasks.Go(func(ctx context.Context) {
		f.versions.Admit(ctx, due)
		for !f.recorded(due) && ctx.Err() == nil && f.admissions.Load() == admission {
			schedule.Pause(ctx, pollInterval)
			f.versions.Admit(ctx, due)
		}
		if f.recorded(due) {
			known, _ := f.divide(update)
			apply(known, f.currentAt())
		}
	})
}

// recorded reports whether versions by pool are recorded.
func (f *follower) recorded(versions map[string][]string) bool {
	for pool, names := range versions {
		if slices.ContainsFunc(names, func(name string) bool { return !f.versions.Recorded(pool, name) }) {
			return false
		}
	}
	return true
}

// admitFirst waits up to firstListWait for the versions of a node's first list to be recorded, but for those that have to wait for
// returnTime. It returns the list without the records of the others, and these upstreams.
func (f *follower) admitFirst(ctx context.Context, update wire.FeedUpdate, now time.Time) (known wire.FeedUpdate, rows []wire.Machine) {
	ctx, cancel := context.WithTimeout(ctx, firstListWait)
	defer cancel()
	f.versions.Load(ctx)
	known, rows = f.divide(update)
	if due := versionsOf(f.dueRows(rows, f.readyPools(known.Records), now)); len(due) > 0 {
		f.versions.Listed(due)
		f.versions.Admit(ctx, due)
	}
	return f.divide(update)
}

// dueRows returns the upstreams whose versions are to be recorded now: all but those that wait after the start of this node because
// others serve their pools.
func (f *follower) dueRows(rows []wire.Machine, serves func(pool string) bool, now time.Time) (due []wire.Machine) {
	f.mu.Lock()
	waits := !f.topic.Loaded() || now.Before(f.admitFrom)
	f.mu.Unlock()
	if !waits {
		return rows
	}
	for _, row := range rows {
		if !serves(row.Pool) {
			due = append(due, row)
		}
	}
	if len(due) < len(rows) {
		f.versions.Postponed()
	}
	return due
}

// readyPools returns a function that reports whether one of the records is an upstream of a pool that takes requests.
func (f *follower) readyPools(records []wire.FeedRecord) func(pool string) bool {
	ready := map[string]bool{}
	for _, record := range records {
		row, err := f.decode(record.Key, []byte(record.Value))
		if err == nil && row.State != replica.StateLeaving {
			ready[row.Pool] = true
		}
	}
	return func(pool string) bool { return ready[pool] }
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

// serves reports whether an upstream of a pool is listed that takes requests.
func (s *Service) serves(pool string) bool {
	return slices.ContainsFunc(s.Table.Load().PoolReplicas(pool), func(r *replica.Replica) bool { return !r.Leaving() })
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
