package route

import (
	"testing"

	"github.com/matryer/is"
)

func routeOf(tier int) *Route {
	return New(Spec{
		Name: "r",
		Tier: tier,
	})
}

func teamOf(tier int) Team { return Team{Tier: &tier} }

// TestRoutesOfOneTeamKeepTheirOrder is what an engine preempts by: all requests of a team on one level had short questions
// preempted for long dossiers.
func TestRoutesOfOneTeamKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	question, dossier := routeOf(0), routeOf(2)
	gold, usual := teamOf(0), teamOf(1)
	table := NewTable(TableSpec{
		Routes: []*Route{dossier, question},
		Teams:  []Team{usual, gold},
	})
	is.True(table.PriorityLevel(question, &usual) < table.PriorityLevel(dossier, &usual))
	is.True(table.PriorityLevel(dossier, &gold) < table.PriorityLevel(question, &usual)) // the team's tier goes first
	is.Equal(table.PriorityLevel(question, &gold), 0)
}

func TestRoutesWithoutATeamAreRankedByTheirOwnTier(t *testing.T) {
	is := is.New(t)
	first, last := routeOf(3), routeOf(7)
	table := NewTable(TableSpec{Routes: []*Route{last, first}})
	is.Equal(table.PriorityLevel(first, nil), 0)
	is.Equal(table.PriorityLevel(last, nil), 1)
	is.Equal(table.PriorityLevel(last, &Team{}), 1) // a team without a tier of its own
}

func TestMoreUrgenciesThanLevelsNeverSwapTiers(t *testing.T) {
	is := is.New(t)
	var routes []*Route
	var teams []Team
	for tier := range 7 {
		routes = append(routes, routeOf(tier))
		teams = append(teams, teamOf(tier))
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
			is.True(table.PriorityLevel(routes[0], &teams[i]) > table.PriorityLevel(routes[0], &teams[i-1])) // tiers stay apart
		}
	}
}
