package route

import (
	"cmp"
	"slices"
)

// PriorityLevels is how many levels of urgency engines tell apart.
const PriorityLevels = 10

// urgency orders requests: by the team's tier, or the route's where the team has none, and then by the route's.
type urgency struct {
	tier  int
	route int
}

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.tier, other.tier), cmp.Compare(u.route, other.route))
}

func urgencyOf(r *Route, team *Team) urgency {
	if team == nil || team.Tier == nil {
		return urgency{
			tier:  r.Tier(),
			route: r.Tier(),
		}
	}
	return urgency{
		tier:  *team.Tier,
		route: r.Tier(),
	}
}

// PriorityLevel returns the urgency of a team's requests on a route of this table, 0 for the most urgent, below Levels; team is nil
// for callers without a key.
func (t *Table) PriorityLevel(r *Route, team *Team) int { return t.levels[urgencyOf(r, team)] }

// rankUrgencies gives each urgency that may occur its level. Where there are too many, tiers share the levels evenly, and
// the routes of a tier those of the tier: no tier is ever put behind a later one.
func rankUrgencies(routes []*Route, teams []Team) map[urgency]int {
	var found []urgency
	for _, r := range routes {
		found = append(found, urgencyOf(r, nil))
		for i := range teams {
			found = append(found, urgencyOf(r, &teams[i]))
		}
	}
	slices.SortFunc(found, urgency.compare)
	found = slices.Compact(found)
	levels := map[urgency]int{}
	if len(found) <= PriorityLevels {
		for level, u := range found {
			levels[u] = level
		}
		return levels
	}
	byTier := groupByTier(found)
	for i, group := range byTier {
		first, next := i*PriorityLevels/len(byTier), (i+1)*PriorityLevels/len(byTier)
		for j, u := range group {
			levels[u] = first + j*(next-first)/len(group)
		}
	}
	return levels
}

// groupByTier splits sorted urgencies at each change of the tier.
func groupByTier(sorted []urgency) (groups [][]urgency) {
	for _, u := range sorted {
		if last := len(groups) - 1; last >= 0 && groups[last][0].tier == u.tier {
			groups[last] = append(groups[last], u)
			continue
		}
		groups = append(groups, []urgency{u})
	}
	return groups
}
