package rollout

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"lagoongw/internal/state/rule"
)

func largeFile(teams, change int) string {
	var b strings.Builder
	for i := range teams {
		_, _ = fmt.Fprintf(&b,
			"team=team-%d token-sha256=%s requests-per-second=10 tokens-per-second=1000 # asked for by team %d\n",
			i, rule.HashToken(fmt.Sprint("token-", i)), i)
	}
	for tier := range 7 {
		_, _ = fmt.Fprintf(&b, "rule=rule-%d class=class-%d tier=%d deadline=%ds idempotent=yes # asked for by sales\n",
			tier, tier, tier, 10+change%50)
	}
	return b.String()
}

// BenchmarkPublish measures the time and record size of one change and the file's size and memory, by number of teams.
func BenchmarkPublish(b *testing.B) {
	for _, teams := range []int{10, 750, 7500} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := NewFold(sealer)
			f.SetOldest(0)
			text := largeFile(teams, 0)
			f.Apply(seal(b, 0, publishRecord("p0", -1, "", text)))
			runtime.GC()
			runtime.ReadMemStats(&after)
			size := 0
			change := 0
			for b.Loop() {
				change++
				next := largeFile(teams, change)
				b.StopTimer()
				entry := seal(b, change, publishRecord(fmt.Sprint("p", change), f.Revision(), f.Text(), next))
				size = len(entry.Data)
				b.StartTimer()
				if !f.Apply(entry) {
					b.Fatal("not accepted")
				}
			}
			b.ReportMetric(float64(size), "record-bytes")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			b.ReportMetric(float64(len(text)), "file-bytes")
		})
	}
}
