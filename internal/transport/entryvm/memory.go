package entryvm

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"
	"time"

	"lagoongw/internal/coordination/memory"
)

const (
	// memoryCheckInterval is the time between two checks of the memory in use.
	memoryCheckInterval = 250 * time.Millisecond
	// memoryLogSteps is the number of log lines between no memory in use and the limit.
	memoryLogSteps = 16
)

// memoryUse is what holds the memory of this process, in bytes, apart from goroutines, which is a count.
type memoryUse struct {
	// resident is the memory that counts towards the limit; file is its part that is mapped from files, such as the
	// program itself.
	resident, file    int64
	heap, stacks      int64
	unused            int64
	goroutines        int64
	requests, answers int64
}

// memoryReporter logs what holds the memory of this process each time that its use reaches a new peak.
type memoryReporter struct {
	process *Process
	// loggedStep is the highest step of the use that was logged.
	loggedStep int64
}

// Names of the runtime's metrics.
const (
	heapObjectsMetric = "/memory/classes/heap/objects:bytes"
	heapStacksMetric  = "/memory/classes/heap/stacks:bytes"
	heapUnusedMetric  = "/memory/classes/heap/unused:bytes"
	goroutinesMetric  = "/sched/goroutines:goroutines"
)

// use returns the memory in use now. Figures that the platform doesn't offer are 0.
func (m *memoryReporter) use() memoryUse {
	samples := []metrics.Sample{
		{Name: heapObjectsMetric},
		{Name: heapStacksMetric},
		{Name: heapUnusedMetric},
		{Name: goroutinesMetric},
	}
	metrics.Read(samples)
	resident, file := residentBytes()
	return memoryUse{
		resident:   resident,
		file:       file,
		heap:       int64(samples[0].Value.Uint64()),
		stacks:     int64(samples[1].Value.Uint64()),
		unused:     int64(samples[2].Value.Uint64()),
		goroutines: int64(samples[3].Value.Uint64()),
		requests:   m.process.memoryBudget.Held(memory.Requests),
		answers:    m.process.memoryBudget.Held(memory.Answers),
	}
}

// residentBytes returns the resident memory of this process, and its part that is mapped from files; 0 if unknown.
func residentBytes() (resident, file int64) {
	data, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(data)
	if err != nil || len(fields) < 3 {
		return 0, 0
	}
	pages, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	shared, _ := strconv.ParseInt(string(fields[2]), 10, 64)
	size := int64(os.Getpagesize())
	return pages * size, shared * size
}

// check logs the memory in use if it has passed another step towards the limit.
func (m *memoryReporter) check(time.Time) {
	p := m.process
	if p.MemoryLimit <= 0 {
		return
	}
	resident, _ := residentBytes()
	step := resident * memoryLogSteps / p.MemoryLimit
	if step <= m.loggedStep {
		return
	}
	m.loggedStep = step
	use := m.use()
	p.Logger.Info().
		Str("decision", "memory").
		Int64("limit-kb", p.MemoryLimit>>10).
		Int64("resident-kb", use.resident>>10).
		Int64("file-kb", use.file>>10).
		Int64("heap-kb", use.heap>>10).
		Int64("heap-unused-kb", use.unused>>10).
		Int64("stacks-kb", use.stacks>>10).
		Int64("goroutines", use.goroutines).
		Int("requests", p.gateway.InFlight()).
		Int64("requests-kb", use.requests>>10).
		Int64("answers-kb", use.answers>>10).
		Int64("peer-calls", p.outgoing.calls.Load()).
		Int("routes", p.Catalog.RoutesVersion()).
		Msg("memory in use reached a new peak")
}
