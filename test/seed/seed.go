package seed

import (
	"flag"
	"os"
	"testing"

	// Package rapid defines the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main runs the tests of a package with a fixed rapid seed and number of cases, and exits; it is called from TestMain.
func Main(m *testing.M) {
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
