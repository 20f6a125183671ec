package policy

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the tables into docs/POLICY.md")

// minAttainment is the fraction of changeover requests whose first token has to arrive within the target: users
// require 95 in 100, and a late changeover stops a production line.
const minAttainment = 0.95

// TestPolicyPage checks that the tables in docs/POLICY.md are those that the current code produces; with -update it
// writes them.
func TestPolicyPage(t *testing.T) {
	page := filepath.Join("..", "..", "docs", "POLICY.md")
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	text := string(content)
	for _, engines := range []int{9, 12} {
		begin, end := tableMarkers(engines)
		head, rest, hasBegin := strings.Cut(text, begin)
		_, tail, hasEnd := strings.Cut(rest, end)
		if !hasBegin || !hasEnd {
			t.Fatalf("docs/POLICY.md lacks the markers around the table for %d engines", engines)
		}
		text = head + begin + table(engines) + end + tail
	}
	if *update {
		if err := os.WriteFile(page, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if text != string(content) {
		t.Error("docs/POLICY.md differs from the simulation's results; run go test ./test/policy -update and compare")
	}
}

// tableMarkers returns the HTML comments in docs/POLICY.md before and after the table for a number of engines.
func tableMarkers(engines int) (begin, end string) {
	name := map[int]string{
		9:  "lamiera",
		12: "al-harthy",
	}[engines]
	return "<!-- " + name + " -->\n", "<!-- end " + name + " -->"
}

// TestScenariosMeetTargets checks that under lagoongw's policy no tier inversion occurs, the class of the highest tier
// attains its target and no class starves, at every load and in every scenario.
func TestScenariosMeetTargets(t *testing.T) {
	for _, engines := range []int{9, 12} {
		for _, load := range []float64{0.7, 1, 1.5, 3} {
			for _, s := range scenarios(engines) {
				r := simulate(lagoongw, load, s, seed)
				if r.inversions > 0 {
					t.Errorf("%d engines, load %.1f, %s: %d tier inversions", engines, load, s.name, r.inversions)
				}
				if got := r.classes["changeover"].attainment(); got < minAttainment {
					t.Errorf("%d engines, load %.1f, %s: changeover attained %.3f", engines, load, s.name, got)
				}
				for name, c := range r.classes {
					if c.completed == 0 {
						t.Errorf("%d engines, load %.1f, %s: no %s request completed", engines, load, s.name, name)
					}
				}
			}
		}
	}
}
