package matrix

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the tables into docs/FAULTS.md")

var faultsPage = filepath.Join("..", "..", "docs", "FAULTS.md")

// golden compares a table with the one between its marks in docs/FAULTS.md.
func golden(t *testing.T, name string, rows []string) {
	t.Helper()
	if t.Failed() {
		return
	}
	page, err := os.ReadFile(faultsPage)
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- "+name+" -->\n", "<!-- end "+name+" -->"
	head, rest, found := strings.Cut(string(page), begin)
	old, tail, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatalf("docs/FAULTS.md has no marks for the table %q", name)
	}
	table := strings.Join(rows, "\n") + "\n"
	if *update {
		if err := os.WriteFile(faultsPage, []byte(head+begin+table+end+tail), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if old != table {
		t.Errorf("table %q differs from docs/FAULTS.md; got:\n%s", name, table)
	}
}
