package route

import (
	"cmp"
	"slices"
)

// PriorityLevels is the number of priority levels that model engines distinguish.
const PriorityLevels = 10

// priority orders requests by the tier of the team, or of the route if the team has none, and then by the tier of the
// route.
type priority struct {
	effectiveTier int
	routeTier     int
}

func (p priority) compare(other priority) int {
	return cmp.Or(cmp.Compare(p.effectiveTier, other.effectiveTier), cmp.Compare(p.routeTier, other.routeTier))
}

func priorityOf(r *Route, team *Team) priority {
	if team == nil || team.Tier == nil {
		return priority{
			effectiveTier: r.Tier(),
			routeTier:     r.Tier(),
		}
	}
	return priority{
		effectiveTier: *team.Tier,
		routeTier:     r.Tier(),
	}
}

// PriorityLevel returns the priority level of a team's requests on a route of the table, from 0 (highest) to
// PriorityLevels-1. The team is nil for callers without an API key.
func (t *Table) PriorityLevel(r *Route, team *Team) int { return t.priorityLevels[priorityOf(r, team)] }

// assignLevels maps each possible priority to a level. If there are more priorities than levels, the levels are divided
// evenly among the tiers, and the levels of a tier among its routes, so that a tier never ranks below a later one.
func assignLevels(routes []*Route, teams []Team) map[priority]int {
	priorities := distinctPriorities(routes, teams)
	levels := map[priority]int{}
	if len(priorities) <= PriorityLevels {
		for level, p := range priorities {
			levels[p] = level
		}
		return levels
	}
	tiers := groupByTier(priorities)
	for i, group := range tiers {
		first, next := i*PriorityLevels/len(tiers), (i+1)*PriorityLevels/len(tiers)
		for j, p := range group {
			levels[p] = first + j*(next-first)/len(group)
		}
	}
	return levels
}

// distinctPriorities returns each priority that a request may have once, sorted. Routes and teams are many, their tiers
// few.
func distinctPriorities(routes []*Route, teams []Team) []priority {
	routeByTier, teamByTier := map[int]*Route{}, map[int]*Team{}
	for _, r := range routes {
		routeByTier[r.Tier()] = r
	}
	for i := range teams {
		if tier := teams[i].Tier; tier != nil {
			teamByTier[*tier] = &teams[i]
		}
	}
	var priorities []priority
	for _, r := range routeByTier {
		priorities = append(priorities, priorityOf(r, nil))
		for _, team := range teamByTier {
			priorities = append(priorities, priorityOf(r, team))
		}
	}
	slices.SortFunc(priorities, priority.compare)
	return slices.Compact(priorities)
}

// groupByTier groups sorted priorities by their effective tier.
func groupByTier(sorted []priority) (groups [][]priority) {
	for _, p := range sorted {
		if last := len(groups) - 1; last >= 0 && groups[last][0].effectiveTier == p.effectiveTier {
			groups[last] = append(groups[last], p)
			continue
		}
		groups = append(groups, []priority{p})
	}
	return groups
}
