package route

import (
	"maps"
	"slices"
)

// Sharing returns the table with those parts of an earlier version that it repeats in place of its own. Requests may hold
// the version that they began with for as long as they last, and versions may follow each other in quick succession; each
// of them then holds little more than what it changed.
func (t *Table) Sharing(earlier *Table) *Table {
	shared := *t
	shared.byHost = make(map[string][]*Route, len(t.byHost))
	for host, routes := range t.byHost {
		shared.byHost[host] = shareRoutes(routes, earlier.byHost[host])
	}
	if maps.EqualFunc(t.settings.pools, earlier.settings.pools, Pool.equal) {
		shared.settings.pools = earlier.settings.pools
	}
	if maps.EqualFunc(t.teamByKey, earlier.teamByKey, (*Team).equal) {
		shared.teamByKey = earlier.teamByKey
	}
	if maps.Equal(t.priorityLevels, earlier.priorityLevels) {
		shared.priorityLevels = earlier.priorityLevels
	}
	return &shared
}

// shareRoutes returns the routes with equal ones of an earlier version in place of their own.
func shareRoutes(routes, earlier []*Route) []*Route {
	byName := make(map[string]*Route, len(earlier))
	for _, r := range earlier {
		byName[r.Name()] = r
	}
	shared := make([]*Route, len(routes))
	for i, r := range routes {
		shared[i] = r
		if other := byName[r.Name()]; other != nil && r.equal(other) {
			shared[i] = other
		}
	}
	if slices.Equal(shared, earlier) {
		return earlier
	}
	return shared
}

func (r *Route) equal(other *Route) bool {
	a, b := r.spec, other.spec
	return a.Name == b.Name && a.Host == b.Host && a.Prefix == b.Prefix && a.Kind == b.Kind && a.Timeout == b.Timeout &&
		a.TargetLatency == b.TargetLatency && a.TargetGap == b.TargetGap && a.Tier == b.Tier &&
		slices.Equal(a.Pools, b.Pools) && a.MaxAttempts == b.MaxAttempts && a.Public == b.Public &&
		a.Resumable == b.Resumable
}

func (p Pool) equal(other Pool) bool {
	return p.Name == other.Name && p.HealthPath == other.HealthPath && p.MaxConnections == other.MaxConnections &&
		equalPointees(p.Engine, other.Engine) && p.Scaling.equal(other.Scaling)
}

func (s *Scaling) equal(other *Scaling) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.Min == other.Min && s.Max == other.Max && s.Boot == other.Boot && s.SpotPrice == other.SpotPrice &&
		maps.Equal(s.ZonePrices, other.ZonePrices)
}

func (t *Team) equal(other *Team) bool {
	return t.Name == other.Name && slices.Equal(t.Keys, other.Keys) && equalPointees(t.Tier, other.Tier)
}

func equalPointees[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}
