package policy

import (
	"fmt"
	"strings"
	"time"
)

var policies = []struct {
	name  string
	build build
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
		build: own,
	},
}

func scenarios(engines int) []scenario {
	lag := 500 * time.Millisecond
	return []scenario{
		{
			name:    "steady",
			lag:     lag,
			engines: engines,
		},
		{
			name:    "burst of advice ×5",
			burst:   true,
			lag:     lag,
			engines: engines,
		},
		{
			name:    "one replica at a fifth",
			slow:    true,
			lag:     lag,
			engines: engines,
		},
		{
			name:    "one replica crashed",
			crash:   true,
			lag:     lag,
			engines: engines,
		},
		{
			name:    "reports 5 s late",
			lag:     5 * time.Second,
			engines: engines,
		},
		{
			name:    "regions apart",
			apart:   true,
			lag:     lag,
			engines: engines,
		},
	}
}

const seed = 7

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

func row(load float64, scenario, policy string, r *result) string {
	text := fmt.Sprintf("| %.1f | %s | %s |", load, scenario, policy)
	for _, c := range classes {
		text += fmt.Sprintf(" %.1f%% |", 100*r.classes[c.name].attainment())
	}
	advice := r.classes["advice"]
	return text + fmt.Sprintf(" %.0f | %.1f%% | %d of %d | %s | %d |\n", r.useful/measured.Seconds(), 100*r.wasted/(r.useful+r.wasted+1),
		advice.done, advice.sent, r.classes["advice"].longest.Round(100*time.Millisecond), r.inversions)
}
