//go:build !nolab

package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const tinyExperiment = `
name = "tiny"
length = "3s"
nodes = 2
regions = 1
services = 1
service-slots = 2
tell-every = "250ms"

[[class]]
name = "order"
per-second = 20
work = "15ms"
within = "200ms"
deadline = "3s"
worth = 1.0
`

// runLab runs the lab command on an experiment and returns its exit code and output.
func runLab(t *testing.T, experiment string, options ...string) (code int, out, errOut string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "experiment.toml")
	if err := os.WriteFile(path, []byte(experiment), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	code = Main(append(append([]string{"lab"}, options...), path), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestLabComparesPolicies(t *testing.T) {
	is := is.New(t)
	code, out, errOut := runLab(t, tinyExperiment,
		"--seeds", "2", "--policy", "lagoongw", "--policy", "least-loaded", "--plots", t.TempDir())
	is.Equal(errOut, "")
	is.Equal(code, exitOK)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	is.Equal(len(lines), 4) // the header, one row for each policy, and the plot of the only class
	is.True(strings.HasPrefix(lines[1], "lagoongw"))
	is.True(strings.HasPrefix(lines[3], "wrote "))
	code, out, _ = runLab(t, tinyExperiment, "--seeds", "2", "--policy", "lagoongw", "--json")
	is.Equal(code, exitOK)
	is.Equal(strings.Count(out, `"class":"order"`), 2)
}

func TestLabReportsInvalidInput(t *testing.T) {
	is := is.New(t)
	code, _, errOut := runLab(t, tinyExperiment, "--policy", "nearest")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errOut, `unknown policy "nearest"`) && strings.Contains(errOut, "oracle"))
	code, _, errOut = runLab(t, tinyExperiment, "--seeds", "0")
	is.Equal(code, exitUsage)
	is.True(strings.Contains(errOut, "--seeds"))
	code, _, errOut = runLab(t, strings.Replace(tinyExperiment, "nodes", "nodse", 1))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(errOut, "nodse"))
}

// TestLabComparesCapacityPolicies guards against an option that asks for an experiment file, which this comparison has none of.
func TestLabComparesCapacityPolicies(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"lab", "--capacity"}, &out, &errOut), exitOK)
	is.Equal(strings.Count(out.String(), "planner"), 5) // one row for each load pattern
	is.Equal(Main([]string{"lab", "--capacity", "file"}, &out, &errOut), exitUsage)
}
