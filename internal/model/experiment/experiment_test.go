package experiment

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/model/site"
)

var update = flag.Bool("update", false, "write the golden files")

// experimentFiles returns the paths of the experiment files in the repository.
func experimentFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../../../experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no experiments found", err)
	}
	return files
}

func TestRepositoryExperimentsParse(t *testing.T) {
	for _, path := range experimentFiles(t) {
		is := is.New(t)
		data, err := os.ReadFile(path)
		is.NoErr(err)
		name, _, err := Parse(data)
		is.NoErr(err)
		is.Equal(name+".toml", filepath.Base(path))
	}
}

func TestParseReportsInvalidFiles(t *testing.T) {
	for text, expected := range map[string]string{
		"nodes = \"many\"":       "read experiment",
		"nodez = 8":              "nodez",
		"length = \"soon\"":      "soon",
		"nodes = 8\nregions = 1": "must be positive",
	} {
		_, _, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), expected) {
			t.Errorf("%q: got %v, expected %q", text, err, expected)
		}
	}
}

// newOutcomes returns results that are easy to check by hand.
func newOutcomes() []Outcome {
	result := func(inTime int) *site.Result {
		return &site.Result{
			PrefilledTokens:       1000,
			RepeatedPrefillTokens: 250,
			WastedPrefillTokens:   100,
			Preemptions:           3,
			Classes: []*site.ClassResult{
				{
					Name:          "question",
					Requests:      100,
					Served:        95,
					InTime:        inTime,
					Refused:       5,
					Retried:       4,
					RetriedServed: 3,
					Worth:         float64(inTime),
					MaxWorth:      100,
					Seconds: []site.Second{
						{
							Requests: 60,
							InTime:   inTime / 2,
						},
						{
							Requests: 40,
							InTime:   inTime - inTime/2,
						},
						{},
					},
				},
			},
		}
	}
	lagoongw, _ := site.PolicyByName("lagoongw")
	baseline, _ := site.PolicyByName("least-loaded")
	return []Outcome{
		{
			Policy: lagoongw,
			Runs:   []*site.Result{result(90), result(92), result(94)},
		},
		{
			Policy: baseline,
			Runs:   []*site.Result{result(50), result(60), result(70)},
		},
	}
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	expected, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, expected) {
		t.Errorf("%s\ndiffers from %s (%v); if the change is intended, run the test with -update", got, path, err)
	}
}

func TestReports(t *testing.T) {
	is := is.New(t)
	var table, lines bytes.Buffer
	is.NoErr(WriteTable(&table, "example", newOutcomes()))
	compareGolden(t, "table.golden", table.Bytes())
	is.NoErr(WriteJSONLines(&lines, "example", newOutcomes()))
	compareGolden(t, "lines.golden", lines.Bytes())
}

func TestPlotsAreWritten(t *testing.T) {
	is := is.New(t)
	files, err := WritePlots(filepath.Join(t.TempDir(), "plots"), "example", newOutcomes())
	is.NoErr(err)
	is.Equal(len(files), 1)
	data, err := os.ReadFile(files[0])
	is.NoErr(err)
	is.True(bytes.Contains(data, []byte("<svg")))
	is.True(bytes.Contains(data, []byte("least-loaded")))
}

func TestEstimateMargin(t *testing.T) {
	is := is.New(t)
	is.Equal(estimateOf([]float64{0.5}).String(), "0.500")
	// Student's t for two degrees of freedom is 4.303.
	is.Equal(estimateOf([]float64{0.4, 0.5, 0.6}).String(), "0.500±0.248")
}

func TestPoliciesGetTheSameRequests(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../../../experiments/usual-day.toml")
	is.NoErr(err)
	name, spec, err := Parse(data)
	is.NoErr(err)
	spec.Duration /= 6
	e := Experiment{
		Name:     name,
		Spec:     spec,
		Policies: site.Policies()[:2],
		Seeds:    2,
	}
	outcomes, err := e.Run(context.Background())
	is.NoErr(err)
	for i := range outcomes[0].Runs[0].Classes {
		is.True(outcomes[0].Runs[0].Classes[i].Requests > 0)
		is.Equal(outcomes[0].Runs[0].Classes[i].Requests, outcomes[1].Runs[0].Classes[i].Requests)
	}
	// A canceled experiment returns an error.
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = e.Run(cancelled)
	is.True(err != nil)
}
