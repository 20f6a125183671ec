package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case, with the disruption if trouble is set, and reports whether the rule held.
type scenario func(j *journal, s *site, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"foreign-entry":  playForeignEntry,
	"extra-bytes":    playExtra,
	"stop-mid-phase": playStop,
	"new-version":    playNewVersion,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitNotRun
	}
	j, err := newJournal(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer j.close()
	s, err := newSite(j)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.stop()
		os.Exit(exitNotRun)
	}()
	held, err := scenarios[os.Args[1]](j, s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		j.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		j.note("the rule held")
		return exitHeld
	}
	j.note("the rule is broken")
	return exitBroken
}
