package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes to the record of the case what was sent, answered and run.
type journal struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{
		file:    file,
		started: time.Now(),
	}, nil
}

// note writes a line with the time since the start.
func (j *journal) note(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f s  %s\n", time.Since(j.started).Seconds(), fmt.Sprintf(format, values...))
}

func (j *journal) close() { _ = j.file.Close() }
