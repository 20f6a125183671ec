package scaling

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "update the golden file")

// TestPoliciesOnLoadPatterns guards against a change of the planner that costs more or serves less on a usual pattern than
// the table says, or that serves less than the fixed number where that suffices.
func TestPoliciesOnLoadPatterns(t *testing.T) {
	is := is.New(t)
	results := Compare()
	var table bytes.Buffer
	is.NoErr(WriteTable(&table, results))
	cost := map[string]float64{}
	for _, result := range results {
		switch result.Policy {
		case "fixed":
			cost[result.Pattern] = result.Totals.Cost
			is.True(result.Totals.Unserved == 0)
		case "planner":
			is.True(result.Totals.Unserved == 0)
			is.True(result.Totals.Cost < 0.6*cost[result.Pattern])
			is.True(result.Totals.Most <= 2*InitialPerZone*6)
		}
	}
	golden := filepath.Join("testdata", "policies.txt")
	if *update {
		is.NoErr(os.WriteFile(golden, table.Bytes(), 0o600))
		return
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(table.String(), string(want))
}
