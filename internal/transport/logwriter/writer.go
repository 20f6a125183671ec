package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxWaiting is the bytes of lines that may wait: some seconds of lines at the highest load that a node serves.
	maxWaiting = 1 << 20
	// flushEvery lets lines gather, so that a busy node writes once for many of them.
	flushEvery = 100 * time.Millisecond
)

// Writer passes whole lines on in the background; what does not fit is dropped and counted, and the count is written in
// a line of its own as soon as there is room.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	missing int64
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}
	closed  chan struct{}
}

// New returns a writer and starts its background work, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:    out,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		closed: make(chan struct{}),
	}
	go w.run()
	return w
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write takes one line; it never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > maxWaiting {
		w.missing++
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits and ends the background work.
func (w *Writer) Close() {
	close(w.done)
	<-w.closed
}

func (w *Writer) run() {
	defer close(w.closed)
	for {
		select {
		case <-w.wake:
			select {
			case <-w.done:
			case <-time.After(flushEvery):
			}
			w.flush()
		case <-w.done:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, missing := w.waiting, w.missing
	w.waiting, w.missing = w.spare[:0], 0
	w.mu.Unlock()
	if missing > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","decision":"log","dropped-lines":%d,"message":"log lines dropped"}`+"\n", missing)
	}
	// There is nowhere to report that the log itself can't be written.
	_, _ = w.out.Write(lines)
	w.spare = lines
}
