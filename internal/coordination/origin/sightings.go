package origin

import (
	"slices"
	"time"
)

const (
	// retention is how long a version is remembered after it was last seen. A longer take-up bound can't be observed.
	retention = 15 * time.Minute
	// coverSlack is the age up to which a record of the versions covers the time before an observation that begins now. An
	// observation begins with a list of upstreams that may be as old.
	coverSlack = 3 * time.Second
)

// Sightings holds the software versions that a node has seen serve in each pool. It is not safe for concurrent use.
type Sightings struct {
	// since is when the node began to see all versions, zero while it does not.
	since time.Time
	seen  map[string]map[string]sighting
	// coveredAt is when a record was read that holds the versions that served before the observation, zero if none was.
	coveredAt time.Time
	covers    func(pool string) bool
}

// sighting is when a version was last seen.
type sighting struct {
	// at is the last time at which the node listed the version or was told of it, current the last one at which its list was
	// current.
	at, current time.Time
}

// Sighted is what a node has seen of a pool.
type Sighted struct {
	// Versions holds the versions that served within the observation.
	Versions []string
	// Observed is how far back the observation goes, at most as far as was asked for.
	Observed time.Duration
}

// Observe records the versions that serve now, by pool. If the node's list of upstreams is not current, a version may serve
// unseen, and the observation begins anew.
func (s *Sightings) Observe(versions map[string][]string, current bool, now time.Time) {
	switch {
	case !current && !s.since.IsZero():
		s.since, s.coveredAt = time.Time{}, time.Time{}
	case current && s.since.IsZero():
		s.since = now
		if now.Sub(s.coveredAt) > coverSlack {
			s.coveredAt = time.Time{}
		}
	}
	s.note(versions, current, now)
	s.forget(now)
}

// Note records versions that serve or are about to.
func (s *Sightings) Note(versions map[string][]string, now time.Time) { s.note(versions, false, now) }

func (s *Sightings) note(versions map[string][]string, current bool, now time.Time) {
	if s.seen == nil {
		s.seen = map[string]map[string]sighting{}
	}
	for pool, names := range versions {
		if s.seen[pool] == nil {
			s.seen[pool] = map[string]sighting{}
		}
		for _, name := range names {
			last := s.seen[pool][name]
			last.at = now
			if current {
				last.current = now
			}
			s.seen[pool][name] = last
		}
	}
}

func (s *Sightings) forget(now time.Time) {
	for pool, seen := range s.seen {
		for name, last := range seen {
			if now.Sub(last.at) >= retention {
				delete(seen, name)
			}
		}
		if len(seen) == 0 {
			delete(s.seen, pool)
		}
	}
}

// Cover records that a record of the versions was read, which holds all that have served before; complete reports whether it
// does for a pool, which may change after the read. The read was sent at a time, and the versions count as seen now.
func (s *Sightings) Cover(versions map[string][]string, complete func(pool string) bool, sent, now time.Time) {
	s.coveredAt, s.covers = sent, complete
	s.note(versions, true, now)
}

// Learn records versions that a record holds and that were never seen; another node may have seen them.
func (s *Sightings) Learn(versions map[string][]string, now time.Time) {
	for pool, names := range versions {
		for _, name := range names {
			if _, seen := s.seen[pool][name]; !seen {
				s.note(map[string][]string{pool: {name}}, false, now)
			}
		}
	}
}

// Confirm records versions that were recorded, or are in a list that is current.
func (s *Sightings) Confirm(versions map[string][]string, now time.Time) { s.note(versions, true, now) }

// Covered reports whether a record was read since the observation was last interrupted.
func (s *Sightings) Covered() bool { return !s.coveredAt.IsZero() }

// Fresh reports whether a version was seen in a current list within a time, without an interruption since.
func (s *Sightings) Fresh(pool, version string, within time.Duration, now time.Time) bool {
	last, seen := s.seen[pool][version]
	return seen && !last.current.IsZero() && now.Sub(last.current) < within && (!s.since.IsZero() || s.Covered())
}

// Sighted returns what the node has seen of a pool in the time before now.
func (s *Sightings) Sighted(pool string, within time.Duration, now time.Time) Sighted {
	var sighted Sighted
	for name, last := range s.seen[pool] {
		if now.Sub(last.at) < within {
			sighted.Versions = append(sighted.Versions, name)
		}
	}
	slices.Sort(sighted.Versions)
	switch {
	case s.since.IsZero():
	case s.Covered() && s.covers(pool):
		sighted.Observed = min(within, retention)
	default:
		sighted.Observed = min(now.Sub(s.since), within, retention)
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
