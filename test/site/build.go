package site

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// Build builds the program and returns its path.
func Build(t testing.TB) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "lagoongw")
	command := exec.CommandContext(t.Context(), "go", "build", "-tags=nolab", "-o", path, "lagoongw")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v\n%s", err, out)
	}
	return path
}
