package entryvm_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/duties"
	"lagoongw/internal/transport/entryvm"
)

// memoryLog is the topic of the duties.
type memoryLog struct {
	mu      sync.Mutex
	records map[string]wire.FeedRecord
	end     int
}

func (l *memoryLog) Newest(context.Context) (catalog.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := catalog.Batch{Next: l.end}
	for _, record := range l.records {
		batch.Records = append(batch.Records, record)
	}
	return batch, nil
}

func (l *memoryLog) AppendAt(_ context.Context, at int, record wire.FeedRecord) (era int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at != l.end {
		return 0, duties.ErrConflict
	}
	record.Offset = at
	l.records[record.Key] = record
	l.end++
	return 0, nil
}

// TestRequestsOfAllNodesAreReported guards against reports without the requests at nodes other than the holder, and
// against counts, calls and metrics at nodes without the duty.
func TestRequestsOfAllNodesAreReported(t *testing.T) {
	is := is.New(t)
	gate, received := make(chan struct{}), make(chan struct{}, 100)
	close(gate)
	store := startStore(t, startUpstream(t, gate, received))
	log := &memoryLog{records: map[string]wire.FeedRecord{}}
	var mu sync.Mutex
	reported := map[int]map[string]int{}
	report := func(_ context.Context, _ string, _, window int, counts map[string]int) error {
		mu.Lock()
		defer mu.Unlock()
		if before, found := reported[window]; found && !maps.Equal(before, counts) {
			t.Errorf("window %d reported as %v and %v", window, before, counts)
		}
		reported[window] = counts
		return nil
	}
	var addresses [][]string
	for i := range 2 {
		addresses = append(addresses, freeAddresses(t))
		name := fmt.Sprintf("vm-%d", i+1)
		p := newProcess(name, store, addresses[i], []string{addresses[0][3]})
		p.Duties = &duties.Service{
			Name:  name,
			Log:   log,
			Lease: 2 * time.Second,
		}
		p.UsageReports = &entryvm.UsageReports{
			Window:    time.Second,
			Tolerance: 0.05,
			Delay:     10 * time.Second,
			Report:    report,
		}
		start(t, p)
	}
	windows := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(reported)
	}
	eventually(t, "a window is reported", func() bool { return windows() > 0 })
	for range 3 {
		for i := range addresses {
			status, _, _ := get(t, "http://"+addresses[i][0]+"/x/1", map[string]string{
				"X-Lagoongw-Attempt-Id": "id-1",
				"Authorization":         "Token k",
			})
			is.Equal(status, http.StatusOK)
		}
	}
	eventually(t, "all requests are reported", func() bool {
		mu.Lock()
		defer mu.Unlock()
		total := 0
		for _, counts := range reported {
			total += counts["t"]
		}
		return total == 6
	})
	without := freeAddresses(t)
	start(t, newProcess("vm-3", store, without, nil))
	_, text, _ := get(t, "http://"+without[4]+"/metrics", nil)
	is.True(!strings.Contains(text, "lagoongw_usage"))
}
