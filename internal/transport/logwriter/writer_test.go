package logwriter

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedOutput is an io.Writer that blocks until open is closed.
type blockedOutput struct {
	open  chan struct{}
	lines bytes.Buffer
}

func (b *blockedOutput) Write(data []byte) (int, error) {
	<-b.open
	return b.lines.Write(data)
}

func TestLinesNeverWaitAndDroppedOnesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{open: make(chan struct{})}
		w := New(out, 0)
		line := []byte(strings.Repeat("x", 1<<10) + "\n")
		start := time.Now()
		for range 5000 {
			n, err := w.Write(line)
			is.NoErr(err)
			is.Equal(n, len(line))
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.True(w.Dropped() > 0)
		close(out.open)
		w.Close()
		kept := strings.Count(out.lines.String(), string(line))
		is.Equal(kept+int(w.Dropped()), 5000)
		is.True(strings.Contains(out.lines.String(), `"dropped-lines":`))
	})
}

func TestLinesAreGatheredAndWrittenWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{open: make(chan struct{})}
		close(out.open)
		w := New(out, 0)
		_, _ = w.Write([]byte("a\n"))
		_, _ = w.Write([]byte("b\n"))
		time.Sleep(2 * flushDelay)
		synctest.Wait()
		is.Equal(out.lines.String(), "a\nb\n")
		_, _ = w.Write([]byte("c\n"))
		w.Close()
		is.Equal(out.lines.String(), "a\nb\nc\n")
	})
}

// The buffers had the same size in a process with little memory, and kept the size of the largest burst of lines.
func TestBuffersFollowTheMemoryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{open: make(chan struct{})}
		const memoryLimit = 112 << 20
		w := New(out, memoryLimit)
		line := []byte(strings.Repeat("x", 1<<10) + "\n")
		for range 2000 {
			_, _ = w.Write(line)
		}
		is.True(len(w.pending) <= memoryLimit/pendingShare)
		is.True(len(w.pending) > memoryLimit/pendingShare-len(line))
		close(out.open)
		w.Close()
		is.True(cap(w.spare) <= maxSpareBytes && cap(w.pending) <= maxSpareBytes)
	})
}

// TestCloseDoesNotWaitForABlockedOutput guards against a process that has drained and never ends, because nobody reads its
// log.
func TestCloseDoesNotWaitForABlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{open: make(chan struct{})}
		w := New(out, 0)
		_, _ = w.Write([]byte("a\n"))
		start := time.Now()
		w.Close()
		is.Equal(time.Since(start), closeTimeout)
		close(out.open) // ends the goroutine
	})
}
