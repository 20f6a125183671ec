package scaling

import (
	"fmt"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// playSeconds is the length of a load pattern.
const playSeconds = 300

// Pattern is a load, in the work of a number of upstreams by second, and what happens to the site.
type Pattern struct {
	Name string
	Work func(second int) float64
	// Event, if set, is called before each second.
	Event func(s *Site, second int)
}

// Steady returns a load that does not change.
func Steady(work float64) func(int) float64 { return func(int) float64 { return work } }

// Patterns returns the load patterns that policies are compared on.
func Patterns() []Pattern {
	return []Pattern{
		{
			Name: "steady",
			Work: Steady(22),
		},
		{
			Name: "wave",
			Work: func(second int) float64 { return 30 - 20*math.Cos(2*math.Pi*float64(second)/150) },
		},
		{
			Name: "step",
			Work: func(second int) float64 {
				if second < 120 {
					return 20
				}
				return 40
			},
		},
		{
			Name:  "zone lost",
			Work:  Steady(30),
			Event: loseZone,
		},
		{
			Name:  "reclaimed and dry",
			Work:  Steady(30),
			Event: reclaimZones,
		},
	}
}

func loseZone(s *Site, second int) {
	switch second {
	case 120:
		s.Lose("b")
	case 200:
		s.Lose("")
	}
}

// reclaimZones reclaims the spot upstreams of three zones within a minute; there are none for a while.
func reclaimZones(s *Site, second int) {
	for i, zone := range []string{"b", "c", "f"} {
		switch second {
		case 100 + 20*i:
			s.Reclaim(zone)
		case 220:
			s.Refill(zone)
		}
	}
}

// Play plays a load on a site for a number of seconds.
func Play(s *Site, decider Decider, seconds int, load Pattern) {
	for second := range seconds {
		if load.Event != nil {
			load.Event(s, second)
		}
		s.Step(load.Work(second))
		for _, order := range decider.Decide(s) {
			decider.Answered(s, order, s.Execute(order))
		}
	}
}

// Result is what a policy has come to on a load pattern.
type Result struct {
	Pattern string
	Policy  string
	Totals  Totals
}

// Compare plays all patterns with all policies.
func Compare() []Result {
	var results []Result
	for _, load := range Patterns() {
		for _, policy := range Policies() {
			s := New()
			s.SetDemand(load.Work(0))
			Play(s, policy.New(s), playSeconds, load)
			results = append(results, Result{
				Pattern: load.Name,
				Policy:  policy.Name,
				Totals:  s.Totals(),
			})
		}
	}
	return results
}

// WriteTable writes a row for each result. The cost is relative to that of the first policy on the same pattern, and the
// unserved work to what was asked.
func WriteTable(out io.Writer, results []Result) error {
	_, err := fmt.Fprintf(out, "%-18s %-24s %6s %10s %9s %5s\n", "pattern", "policy", "cost-%", "unserved-%", "crowded-s", "most")
	first := map[string]float64{}
	for _, result := range results {
		totals := result.Totals
		if first[result.Pattern] == 0 {
			first[result.Pattern] = totals.Cost
		}
		if err == nil {
			_, err = fmt.Fprintf(out, "%-18s %-24s %6.1f %10.2f %9d %5d\n", result.Pattern, result.Policy,
				100*totals.Cost/first[result.Pattern], 100*totals.Unserved/totals.Asked, totals.Crowded, totals.Most)
		}
	}
	return eris.Wrap(err, "write the comparison")
}
