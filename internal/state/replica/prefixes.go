package replica

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// Limits of the view of an engine's prefix cache: the number of prefixes, and the time after which a prefix no longer
// counts as cached.
const (
	MaxCachedPrefixes = 512
	PrefixTTL         = 2 * time.Minute
)

// CachedPrefixes is an immutable view of the prompt prefixes that an engine has reported as cached. The
// sequence is that of the last cache event applied.
type CachedPrefixes struct {
	sequence int
	storedAt map[string]time.Time
}

// HasCachedPrefix reports whether the engine reported the prefix as cached within the last PrefixTTL.
func (r *Replica) HasCachedPrefix(prefix string, now time.Time) bool {
	cached := r.cachedPrefixes.Load()
	if cached == nil || prefix == "" {
		return false
	}
	storedAt, ok := cached.storedAt[prefix]
	return ok && now.Sub(storedAt) < PrefixTTL
}

// ApplyCacheEvents updates the view of the engine's prefix cache. A gap in the sequence clears the view, since an
// eviction may have been missed.
func (r *Replica) ApplyCacheEvents(events []wire.CacheEvent, now time.Time) {
	if len(events) == 0 {
		return
	}
	next := r.copyFreshPrefixes(now)
	for _, event := range events {
		if event.Sequence <= next.sequence {
			continue
		}
		if next.sequence != 0 && event.Sequence != next.sequence+1 {
			clear(next.storedAt)
		}
		next.sequence = event.Sequence
		if !event.Stored {
			delete(next.storedAt, event.Prefix)
		} else if len(next.storedAt) < MaxCachedPrefixes {
			next.storedAt[event.Prefix] = now
		}
	}
	r.cachedPrefixes.Store(next)
}

// copyFreshPrefixes returns a copy of the view without the expired prefixes.
func (r *Replica) copyFreshPrefixes(now time.Time) *CachedPrefixes {
	next := &CachedPrefixes{storedAt: map[string]time.Time{}}
	before := r.cachedPrefixes.Load()
	if before == nil {
		return next
	}
	next.sequence = before.sequence
	for prefix, storedAt := range before.storedAt {
		if now.Sub(storedAt) < PrefixTTL {
			next.storedAt[prefix] = storedAt
		}
	}
	return next
}
