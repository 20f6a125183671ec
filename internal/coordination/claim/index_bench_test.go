package claim

import (
	"fmt"
	"runtime"
	"testing"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// BenchmarkIndex measures the time per record and the memory per key, with a claim and an outcome for each key.
func BenchmarkIndex(b *testing.B) {
	const keys = 100_000
	log := make([]wire.LogRecord, 0, 2*keys)
	add := func(r wire.ClaimRecord) {
		data, err := sealer.Seal(testStream, r)
		if err != nil {
			b.Fatal(err)
		}
		log = append(log, wire.LogRecord{
			Offset: len(log),
			TimeMs: 1000,
			Data:   data,
		})
	}
	for i := range keys {
		key := fmt.Sprintf("team-%d/orders/order-%d", i%7500, i)
		attempt := fmt.Sprintf("entry-%d-0123456789ab-%d", i%410, i)
		add(wire.ClaimRecord{
			Type:    wire.ClaimRecordTypeClaim,
			Key:     key,
			Attempt: attempt,
			Digest:  "0123456789abcdef0123456789abcdef",
		})
		add(wire.ClaimRecord{
			Type:    wire.ClaimRecordTypeOutcome,
			Key:     key,
			Attempt: attempt,
			Outcome: string(outcome.Completed),
			Status:  200,
			Body:    `{"booked":true}`,
		})
	}
	bytes := 0
	for _, entry := range log {
		bytes += len(entry.Data)
	}
	var used float64
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := &Index{
			Sealer:   sealer,
			Stream:   testStream,
			Lifetime: lifetime,
		}
		x.Restart(0, len(log))
		for _, entry := range log {
			x.Apply(entry)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		used = float64(after.HeapAlloc-before.HeapAlloc) / keys
		runtime.KeepAlive(x)
	}
	b.ReportMetric(used, "bytes/key")
	b.ReportMetric(float64(bytes)/keys, "log-bytes/order")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(log)), "ns/record")
}
