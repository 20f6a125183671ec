package route

import (
	"testing"

	"github.com/matryer/is"
)

func newRouteWithTier(tier int) *Route {
	return New(Spec{
		Name: "r",
		Tier: tier,
	})
}

func newTeamWithTier(tier int) Team { return Team{Tier: &tier} }

// TestPriorityFollowsRouteTierWithinATeam guards against giving all requests of a team the same level. Engines preempt
// by level, so short interactive requests were preempted in favor of long batch requests.
func TestPriorityFollowsRouteTierWithinATeam(t *testing.T) {
	is := is.New(t)
	interactive, batch := newRouteWithTier(0), newRouteWithTier(2)
	gold, standard := newTeamWithTier(0), newTeamWithTier(1)
	table := NewTable(TableSpec{
		Routes: []*Route{batch, interactive},
		Teams:  []Team{standard, gold},
	})
	is.True(table.PriorityLevel(interactive, &standard) < table.PriorityLevel(batch, &standard))
	// The tier of the team takes precedence.
	is.True(table.PriorityLevel(batch, &gold) < table.PriorityLevel(interactive, &standard))
	is.Equal(table.PriorityLevel(interactive, &gold), 0)
}

func TestPriorityWithoutTeamTierIsTheRouteTier(t *testing.T) {
	is := is.New(t)
	first, last := newRouteWithTier(3), newRouteWithTier(7)
	table := NewTable(TableSpec{Routes: []*Route{last, first}})
	is.Equal(table.PriorityLevel(first, nil), 0)
	is.Equal(table.PriorityLevel(last, nil), 1)
	is.Equal(table.PriorityLevel(last, &Team{}), 1) // a team without a tier
}

func TestMorePrioritiesThanLevelsKeepTierOrder(t *testing.T) {
	is := is.New(t)
	var routes []*Route
	var teams []Team
	for tier := range 7 {
		routes = append(routes, newRouteWithTier(tier))
		teams = append(teams, newTeamWithTier(tier))
	}
	table := NewTable(TableSpec{
		Routes: routes,
		Teams:  teams,
	})
	last := 0
	for i := range teams {
		for _, r := range routes {
			level := table.PriorityLevel(r, &teams[i])
			is.True(level >= last && level < PriorityLevels)
			last = level
		}
		if i > 0 {
			// Different tiers get different levels.
			is.True(table.PriorityLevel(routes[0], &teams[i]) > table.PriorityLevel(routes[0], &teams[i-1]))
		}
	}
}
