package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingBytes bounds the pending lines; it holds some seconds of lines at the highest load that a node serves.
	maxPendingBytes = 1 << 20
	// pendingShare is the part of the process's memory limit that the pending lines may take, if that is less. As many may
	// be being written.
	pendingShare = 256
	// maxSpareBytes is the size above which a written buffer is not kept for the next lines.
	maxSpareBytes = 64 << 10
	// flushDelay is the time between the first pending line and the write, so that a busy node writes many lines at once.
	flushDelay = 100 * time.Millisecond
	// closeTimeout is how long Close waits for an output that takes no lines.
	closeTimeout = time.Second
)

// Writer writes whole lines in the background. Lines that don't fit into its buffer are dropped; their number is
// written in a line of its own with the next write.
type Writer struct {
	out io.Writer
	// limit bounds the bytes of pending.
	limit   int
	mu      sync.Mutex
	pending []byte
	// spare is the buffer of the last write, which becomes the next pending buffer; it is nil if that was large.
	spare []byte
	// unreported and dropped are the numbers of lines dropped since the last write and since the start.
	unreported int64
	dropped    atomic.Int64
	// wake receives a value when a line is pending; Close closes closing, and run closes exited when it returns.
	wake    chan struct{}
	closing chan struct{}
	exited  chan struct{}
}

// New returns a Writer to out and starts its goroutine, which Close stops. The memory limit is that of the process in
// bytes, 0 if it isn't known.
func New(out io.Writer, memoryLimit int64) *Writer {
	limit := maxPendingBytes
	if memoryLimit > 0 {
		limit = min(limit, int(memoryLimit/pendingShare))
	}
	w := &Writer{
		out:     out,
		limit:   limit,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		exited:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Write buffers one line, or drops it if the buffer is full; it never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > w.limit {
		w.unreported++
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the pending lines and stops the goroutine. Lines that the output does not take within closeTimeout are
// lost.
func (w *Writer) Close() {
	close(w.closing)
	select {
	case <-w.exited:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.exited)
	for {
		select {
		case <-w.wake:
			select {
			case <-w.closing:
			case <-time.After(flushDelay):
			}
			w.flush()
		case <-w.closing:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, unreported := w.pending, w.unreported
	w.pending, w.unreported = w.spare[:0], 0
	w.mu.Unlock()
	if unreported > 0 {
		lines = fmt.Appendf(
			lines, `{"level":"warn","decision":"log","dropped-lines":%d,"message":"log lines dropped"}`+"\n", unreported)
	}
	// A failed write of the log can't be reported anywhere.
	_, _ = w.out.Write(lines)
	w.spare = nil
	if cap(lines) <= maxSpareBytes {
		w.spare = lines
	}
}
