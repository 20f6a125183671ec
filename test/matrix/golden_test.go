package matrix

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the tables into docs/FAULTS.md")

var faultsPath = filepath.Join("..", "..", "docs", "FAULTS.md")

// compareGolden compares a table with the one between the markers of that name in docs/FAULTS.md, or replaces the
// latter if -update is set.
func compareGolden(t *testing.T, name string, rows []string) {
	t.Helper()
	if t.Failed() {
		return
	}
	page, err := os.ReadFile(faultsPath)
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- "+name+" -->\n", "<!-- end "+name+" -->"
	head, rest, found := strings.Cut(string(page), begin)
	old, tail, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatalf("docs/FAULTS.md has no markers for table %q", name)
	}
	table := strings.Join(rows, "\n") + "\n"
	if *update {
		if err := os.WriteFile(faultsPath, []byte(head+begin+table+end+tail), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if old != table {
		t.Errorf("table %q differs from docs/FAULTS.md; got:\n%s", name, table)
	}
}
