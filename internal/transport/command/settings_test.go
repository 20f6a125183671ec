package command

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

var update = flag.Bool("update", false, "write the golden files")

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).Equal(got, string(want))
}

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func TestHelpListsEveryCommand(t *testing.T) {
	is := is.New(t)
	code, out, _ := run()
	is.Equal(code, exitOK)
	golden(t, "help.txt", out)
	code, out, _ = run("serve", "--help")
	is.Equal(code, exitOK)
	golden(t, "serve-help.txt", out)
}

func TestAllInvalidSettingsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	code, _, errOut := run("serve",
		"--name", "Not Kebab", "--secret", "too short", "--keep-answer", "1h", "--log-retention", "1m")
	is.Equal(code, exitUsage)
	is.True(!strings.Contains(errOut, "too short")) // secrets are never printed
	golden(t, "serve-faults.txt", errOut)
}

func TestExitCodesOfFailedCommands(t *testing.T) {
	is := is.New(t)
	code, _, errOut := run("reboot")
	is.Equal(code, exitUsage)
	is.Equal(errOut, "lagoongw: unknown command \"reboot\"; run `lagoongw help` for a list of commands\n")
	code, _, _ = run("rules", "check")
	is.Equal(code, exitUsage)
	code, _, _ = run("status", "--nonesuch")
	is.Equal(code, exitUsage)
	code, _, errOut = run("status", "--node", "127.0.0.1:1")
	is.Equal(code, exitFailed)
	is.True(strings.Contains(errOut, "try another with --node"))
}

func TestRulesCheck(t *testing.T) {
	is := is.New(t)
	good := filepath.Join(t.TempDir(), "rules")
	is.NoErr(os.WriteFile(good, []byte("rule=a class=a tier=1 idempotent=yes # asked for by sales\n"), 0o600))
	code, out, _ := run("rules", "check", good)
	is.Equal(code, exitOK)
	is.True(strings.HasSuffix(out, "1 rules, 0 teams, no errors\n"))
	bad := filepath.Join(t.TempDir(), "rules")
	is.NoErr(os.WriteFile(bad, []byte("rule=a class=a tier=99\n"), 0o600))
	code, _, errOut := run("rules", "check", bad)
	is.Equal(code, exitFailed)
	golden(t, "rules-faults.txt", errOut)
}

func TestStatusOutput(t *testing.T) {
	var out bytes.Buffer
	is.New(t).NoErr(printStatus(&out, wire.NodeStatus{
		Name:             "entry-1",
		AvailabilityZone: "lom-a",
		Region:           "lombardia",
		State:            "serving",
		Revision:         7,
		LogReachable:     true,
		Classes: []wire.ClassStatus{{
			Class:     "changeover",
			Requests:  20,
			Completed: 18,
			NotRun:    2,
			Owed:      18,
			Attained:  17,
			Tokens:    900,
		}},
		Members: []wire.Member{{
			Name:             "entry-2",
			State:            1,
			CallerAddress:    "10.0.0.2:8080",
			AvailabilityZone: "lom-b",
		}},
		Pools: []wire.PoolStatus{{
			Pool:     "engines",
			Limit:    10,
			InFlight: 3,
			Queued:   1,
			Floor:    15,
			Replicas: []wire.ReplicaStatus{{
				Name:             "engine-1",
				Address:          "10.0.1.1:80",
				AvailabilityZone: "lom-a",
				InFlight:         3,
				Reported:         5,
				Leaving:          true,
			}},
		}},
	}))
	golden(t, "status.txt", out.String())
}
