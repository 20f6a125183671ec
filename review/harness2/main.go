package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	expectedArgs = 3
)

// cases are the cases by name; each returns a line for each time that its rule was broken.
var cases = map[string]func(folder string) (breaks []string, err error){
	"odd-entries":      playOddEntries,
	"ghost-replica":    playGhostReplica,
	"joined-version":   playJoinedVersion,
	"incomplete-entry": playIncompleteEntry,
	"crashing-canary":  playCrashingCanary,
}

func main() {
	if len(os.Args) != expectedArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	breaks, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	}
	const shown = 5
	for i, text := range breaks {
		if i < shown {
			fmt.Println(text)
		}
	}
	if len(breaks) > 0 {
		fmt.Printf("the rule was broken: %d times\n", len(breaks))
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
