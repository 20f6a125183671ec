package policy

import (
	"fmt"
	"strings"
	"time"
)

// policies are the compared policies, by their name in the tables.
var policies = []struct {
	name  string
	build buildFunc
}{
	{
		name:  "round robin, FIFO",
		build: roundRobin,
	},
	{
		name:  "least in flight, priorities",
		build: leastInFlight,
	},
	{
		name:  "lagoongw",
		build: lagoongw,
	},
}

// scenarios returns the scenarios for a fleet of the given number of engines.
func scenarios(engines int) []scenario {
	lag := 500 * time.Millisecond
	return []scenario{
		{
			name:      "steady",
			reportLag: lag,
			engines:   engines,
		},
		{
			name:      "burst of advice ×5",
			burst:     true,
			reportLag: lag,
			engines:   engines,
		},
		{
			name:      "one replica at a fifth",
			slow:      true,
			reportLag: lag,
			engines:   engines,
		},
		{
			name:      "one replica crashed",
			crash:     true,
			reportLag: lag,
			engines:   engines,
		},
		{
			name:      "reports 5 s late",
			reportLag: 5 * time.Second,
			engines:   engines,
		},
		{
			name:      "regions apart",
			partition: true,
			reportLag: lag,
			engines:   engines,
		},
	}
}

// seed makes every simulation draw the same arrivals and output lengths.
const seed = 7

// table returns a Markdown table of the results of every policy in every scenario. The load is the mean demand as a
// fraction of the fleet's capacity.
func table(engines int) string {
	var b strings.Builder
	b.WriteString("| load | scenario | policy | changeover | planning | quote | advice | tokens/s | wasted | advice answered | longest advice wait | inversions |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, load := range []float64{0.7, 1, 1.5, 3} {
		for _, s := range scenarios(engines) {
			for _, p := range policies {
				r := simulate(p.build, load, s, seed)
				b.WriteString(row(load, s.name, p.name, r))
			}
		}
	}
	return b.String()
}

// row formats the result of one simulation: the attainment of each class, useful tokens per second, the wasted fraction
// of all tokens, completed and longest waiting advice requests, and tier inversions.
func row(load float64, scenario, policy string, r *result) string {
	line := fmt.Sprintf("| %.1f | %s | %s |", load, scenario, policy)
	for _, c := range classes {
		line += fmt.Sprintf(" %.1f%% |", 100*r.classes[c.name].attainment())
	}
	advice := r.classes["advice"]
	return line + fmt.Sprintf(" %.0f | %.1f%% | %d of %d | %s | %d |\n",
		r.usefulTokens/measurementTime.Seconds(), 100*r.wastedTokens/(r.usefulTokens+r.wastedTokens+1),
		advice.completed, advice.sent, r.classes["advice"].longestWait.Round(100*time.Millisecond), r.inversions)
}
