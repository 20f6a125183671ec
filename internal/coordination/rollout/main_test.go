package rollout

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":       "20261204",
		"rapid.nofailfile": "true",
		"rapid.checks":     "1000",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
