package origin

import (
	"maps"
	"slices"
	"time"
)

const (
	// minRecordBackoff is the pause after the first failed call for the record, maxRecordBackoff after many.
	minRecordBackoff = 100 * time.Millisecond
	maxRecordBackoff = 2 * time.Second
	// toldTime is how long a node leaves a version to another one that has said that it records it.
	toldTime = 500 * time.Millisecond
)

// Entry is an entry of the record of software versions in the store.
type Entry struct {
	// Key is chosen anew whenever a version is recorded, so that a removal that is executed late removes no later entry.
	Key     string
	Pool    string
	Version string
	// Era is the era of the store in which the entry was written.
	Era int
	// Complete reports that in this era the record holds all versions of the pool.
	Complete bool
	// Gone reports that the entry is removed.
	Gone bool
	// Confirmed reports that the store has accepted the entry, or its removal. A version that another node is about to write
	// may never reach the store if that node is lost.
	Confirmed bool
}

// Record decides what is written to the record of the software versions that have served. It is not safe for concurrent use.
type Record struct {
	// NewKey returns a key that was not used before.
	NewKey func() string

	era     int
	entries map[string]Entry
	// toldAt holds when other nodes said that they write an entry, by key.
	toldAt map[string]time.Time
	// wanted holds the entries to append by key, inFlight those that are being appended.
	wanted   map[string]Entry
	inFlight []Entry
	retryAt  time.Time
	backoff  time.Duration
}

// Read replaces what is known of the record by what was read from the store in an era.
func (r *Record) Read(entries []Entry, era int) {
	r.era = max(r.era, era)
	r.entries = map[string]Entry{}
	r.put(Confirmed(entries))
}

// Confirmed returns entries as the store has accepted them.
func Confirmed(entries []Entry) []Entry {
	confirmed := slices.Clone(entries)
	for i := range confirmed {
		confirmed[i].Confirmed = true
	}
	return confirmed
}

// Told records entries that another node has written or is about to write.
func (r *Record) Told(entries []Entry, now time.Time) {
	if r.toldAt == nil {
		r.toldAt = map[string]time.Time{}
	}
	for key, at := range r.toldAt {
		if now.Sub(at) >= toldTime {
			delete(r.toldAt, key)
		}
	}
	for _, e := range entries {
		r.toldAt[e.Key] = now
	}
	r.put(entries)
}

// BeingWritten reports whether another node has said of late that it records a version.
func (r *Record) BeingWritten(pool, version string, now time.Time) bool {
	for key, at := range r.toldAt {
		e, known := r.entries[key]
		if known && e.Pool == pool && e.Version == version && now.Sub(at) < toldTime {
			return true
		}
	}
	return false
}

func (r *Record) put(entries []Entry) {
	if r.entries == nil {
		r.entries = map[string]Entry{}
	}
	for _, e := range entries {
		r.putEntry(e)
	}
}

// putEntry merges an entry. One whose removal is not confirmed may still be in the store: it stays known so that it is removed
// again, and is not relied on. The two messages about an entry may arrive in any order.
func (r *Record) putEntry(e Entry) {
	known, found := r.entries[e.Key]
	switch {
	case e.Gone && e.Confirmed:
		delete(r.entries, e.Key)
	case e.Gone && found:
		known.Confirmed = false
		r.entries[e.Key] = known
	case !e.Gone && (e.Confirmed || !found):
		r.entries[e.Key] = e
	}
}

// BeginEra records the era of the store. Entries of an earlier one may be lacking.
func (r *Record) BeginEra(era int) { r.era = max(r.era, era) }

// Era returns the newest known era of the store.
func (r *Record) Era() int { return r.era }

// Versions returns the versions by pool that the record holds or may hold.
func (r *Record) Versions() map[string][]string {
	byPool := map[string][]string{}
	for _, e := range r.entries {
		if !slices.Contains(byPool[e.Pool], e.Version) {
			byPool[e.Pool] = append(byPool[e.Pool], e.Version)
		}
	}
	return byPool
}

// Has reports whether the store has confirmed that a version is in the record.
func (r *Record) Has(pool, version string) bool {
	for _, e := range r.entries {
		if e.Pool == pool && e.Version == version && e.Confirmed {
			return true
		}
	}
	return false
}

// Complete reports whether the record holds all versions of a pool. In a store that was restored from an older copy it does
// only if a confirmed entry of this era says so; else an absent entry means that a version has not served.
func (r *Record) Complete(pool string) bool {
	if r.era == 0 {
		return true
	}
	for _, e := range r.entries {
		if e.Pool == pool && e.Era == r.era && e.Complete && e.Confirmed {
			return true
		}
	}
	return false
}

// Want makes Due return an entry for a version that is not in the record, unless one waits already.
func (r *Record) Want(pool, version string) {
	if !r.Pending(pool, version) {
		r.want(pool, version, r.Complete(pool))
	}
}

// WantAll makes Due return entries for all versions of a pool, with which the record becomes complete in this era.
func (r *Record) WantAll(pool string, versions []string) {
	for _, version := range versions {
		if r.Pending(pool, version) {
			return
		}
	}
	for _, version := range versions {
		r.want(pool, version, true)
	}
}

func (r *Record) want(pool, version string, complete bool) {
	r.append(Entry{
		Key:      r.NewKey(),
		Pool:     pool,
		Version:  version,
		Era:      r.era,
		Complete: complete,
	})
}

func (r *Record) append(e Entry) {
	if r.wanted == nil {
		r.wanted = map[string]Entry{}
	}
	r.wanted[e.Key] = e
}

// Remove makes Due return the removal of a version.
func (r *Record) Remove(pool, version string) {
	for _, e := range r.entries {
		if e.Pool == pool && e.Version == version {
			e.Gone, e.Confirmed = true, false
			r.append(e)
		}
	}
}

// Pending reports whether an entry for a version waits to be appended.
func (r *Record) Pending(pool, version string) bool {
	for _, e := range r.wanted {
		if e.Pool == pool && e.Version == version && !e.Gone {
			return true
		}
	}
	return false
}

// Due returns the entries to append now, sorted by key; Done must be called after it unless there are none.
func (r *Record) Due(now time.Time) []Entry {
	if len(r.wanted) == 0 || len(r.inFlight) > 0 || now.Before(r.retryAt) {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(r.wanted)) {
		r.inFlight = append(r.inFlight, r.wanted[key])
	}
	return r.inFlight
}

// Done records whether the entries that Due returned were appended. Those that were not are due again after a pause.
func (r *Record) Done(appended bool, now time.Time) {
	sent := r.inFlight
	r.inFlight = nil
	if !appended {
		r.Failed(now)
		return
	}
	r.backoff = 0
	for _, e := range sent {
		delete(r.wanted, e.Key)
	}
	r.put(Confirmed(sent))
}

// Failed records that the store did not answer; the next call is due after a pause.
func (r *Record) Failed(now time.Time) {
	r.backoff = min(max(2*r.backoff, minRecordBackoff), maxRecordBackoff)
	r.retryAt = now.Add(r.backoff)
}

// RetryIn returns how long to wait after a failed call before the next one.
func (r *Record) RetryIn(now time.Time) time.Duration { return max(r.retryAt.Sub(now), 0) }

// MayCall reports whether the pause after a failed call has passed.
func (r *Record) MayCall(now time.Time) bool { return !now.Before(r.retryAt) }
