package replica

import (
	"time"

	"lagoongw/internal/protocol/wire"
)

// Limits of what is remembered of an engine's prefix cache.
const (
	MaxCachedPrefixes = 512
	PrefixTTL         = 2 * time.Minute
)

// CachedPrefixes is an immutable view of the prompt prefixes that an engine says it has cached.
type CachedPrefixes struct {
	sequence int
	stored   map[string]time.Time
}

// HasCachedPrefix reports whether a prefix was said to be cached, not too long ago.
func (r *Replica) HasCachedPrefix(prefix string, now time.Time) bool {
	view := r.prefixes.Load()
	if view == nil || prefix == "" {
		return false
	}
	at, ok := view.stored[prefix]
	return ok && now.Sub(at) < PrefixTTL
}

// ApplyCacheEvents takes in cache events; a gap in their sequence drops the view, since a drop may be missing.
func (r *Replica) ApplyCacheEvents(events []wire.CacheEvent, now time.Time) {
	if len(events) == 0 {
		return
	}
	next := r.copyPrefixes(now)
	for _, event := range events {
		if event.Sequence <= next.sequence {
			continue
		}
		if next.sequence != 0 && event.Sequence != next.sequence+1 {
			clear(next.stored)
		}
		next.sequence = event.Sequence
		if !event.Stored {
			delete(next.stored, event.Prefix)
		} else if len(next.stored) < MaxCachedPrefixes {
			next.stored[event.Prefix] = now
		}
	}
	r.prefixes.Store(next)
}

func (r *Replica) copyPrefixes(now time.Time) *CachedPrefixes {
	next := &CachedPrefixes{stored: map[string]time.Time{}}
	before := r.prefixes.Load()
	if before == nil {
		return next
	}
	next.sequence = before.sequence
	for prefix, at := range before.stored {
		if now.Sub(at) < PrefixTTL {
			next.stored[prefix] = at
		}
	}
	return next
}
