package origin

import (
	"slices"
	"time"
)

// Sightings holds the software versions that a node has seen serve in each pool. It is not safe for concurrent use.
type Sightings struct {
	// since is when the node began to see all versions, zero while it does not.
	since time.Time
	seen  map[string]map[string]time.Time
}

// Sighted is what a node has seen of a pool.
type Sighted struct {
	// Versions holds the versions that served within the observation.
	Versions []string
	// Observed is how far back the observation goes, at most as long as a stream can be taken up.
	Observed time.Duration
}

// Observe records the versions that serve now, by pool. If the node's list of upstreams is not current, a version may serve
// unseen, and the observation begins anew.
func (s *Sightings) Observe(versions map[string][]string, current bool, now time.Time) {
	if !current {
		s.since = time.Time{}
	} else if s.since.IsZero() {
		s.since = now
	}
	if s.seen == nil {
		s.seen = map[string]map[string]time.Time{}
	}
	for pool, names := range versions {
		if s.seen[pool] == nil {
			s.seen[pool] = map[string]time.Time{}
		}
		for _, name := range names {
			s.seen[pool][name] = now
		}
	}
	for pool, seen := range s.seen {
		for name, at := range seen {
			if now.Sub(at) >= lifetime {
				delete(seen, name)
			}
		}
		if len(seen) == 0 {
			delete(s.seen, pool)
		}
	}
}

// Sighted returns what the node has seen of a pool.
func (s *Sightings) Sighted(pool string, now time.Time) Sighted {
	var sighted Sighted
	for name := range s.seen[pool] {
		sighted.Versions = append(sighted.Versions, name)
	}
	slices.Sort(sighted.Versions)
	if !s.since.IsZero() {
		sighted.Observed = min(now.Sub(s.since), lifetime)
	}
	return sighted
}

// OnlyVersion returns the one version that has served in a pool for at least a time by what several nodes have seen; ok is
// false if there were others, or if no node has seen all of that time.
func OnlyVersion(all []Sighted, atLeast time.Duration) (version string, ok bool) {
	var versions []string
	var observed time.Duration
	for _, sighted := range all {
		versions = append(versions, sighted.Versions...)
		observed = max(observed, sighted.Observed)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 || versions[0] == "" || observed < atLeast {
		return "", false
	}
	return versions[0], true
}
