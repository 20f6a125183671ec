package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Run is one run of a request at a replica.
type Run struct {
	ID, Replica, Version, After string
	At                          time.Time
}

// Journal records what was sent, answered and run, also in a file.
type Journal struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
	runs  []Run
}

// NewJournal returns a journal that writes to a file.
func NewJournal(path string) (*Journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Journal{
		began: time.Now(),
		file:  file,
		out:   bufio.NewWriter(file),
	}, nil
}

// Note writes a line.
func (j *Journal) Note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.out, "%8.3f  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

// Ran records a run.
func (j *Journal) Ran(id, replica, version, after string) {
	text := ""
	if after != "" {
		text = ", goes on after event " + after
	}
	j.Note("run    %s at %s (version %s)%s", id, replica, version, text)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, Run{
		ID:      id,
		Replica: replica,
		Version: version,
		After:   after,
		At:      time.Now(),
	})
}

// Runs returns the runs so far.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Run(nil), j.runs...)
}

// Since returns the time of the journal's line at a time.
func (j *Journal) Since(at time.Time) float64 { return at.Sub(j.began).Seconds() }

// Close writes what is buffered.
func (j *Journal) Close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.out.Flush()
	_ = j.file.Close()
}
