package seed

import (
	"flag"
	"os"
	"testing"

	// The flags that are set below are rapid's.
	_ "pgregory.net/rapid"
)

// Main runs the tests of a package with a fixed seed and number of cases; a package's TestMain calls it.
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
