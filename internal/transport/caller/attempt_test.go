package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/estimate"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

func newTestJob(t *testing.T, pool, idempotent string) *job {
	t.Helper()
	file, err := rule.Parse("rule=r class=c tier=1 deadline=3s idempotent=" + idempotent + " # tests\n")
	if err != nil {
		t.Fatal(err)
	}
	return &job{
		id:      "r-1",
		started: time.Now(),
		rule:    file.Rules()[0],
		pool:    pool,
	}
}

// An attempt leaves time for two more. But a chat attempt gets several times the usual service time, and an attempt
// that must run at most once gets all of the remaining time.
func TestAttemptContextTimeout(t *testing.T) {
	s := &Server{Estimates: estimate.NewEstimator()}
	for _, c := range []struct {
		name     string
		job      *job
		failures int
		atMost   time.Duration
		moreThan time.Duration
	}{
		{
			name:     "service, first attempt",
			job:      newTestJob(t, "orders", "yes"),
			atMost:   time.Second,
			moreThan: 0,
		},
		{
			name:     "service, last attempt",
			job:      newTestJob(t, "orders", "yes"),
			failures: 2,
			atMost:   3 * time.Second,
			moreThan: time.Second,
		},
		{
			name:     "chat of a class that usually takes a second",
			job:      newTestJob(t, EnginePool, "yes"),
			atMost:   3 * time.Second,
			moreThan: time.Second,
		},
		{
			name:     "request that must run at most once",
			job:      newTestJob(t, "orders", "no"),
			atMost:   3 * time.Second,
			moreThan: time.Second,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.job.failures = c.failures
			ctx, cancel := s.attemptContext(t.Context(), c.job)
			defer cancel()
			deadline, _ := ctx.Deadline()
			is.True(!deadline.After(time.Now().Add(c.atMost)))
			is.True(deadline.After(c.job.started.Add(c.moreThan)))
		})
	}
}

func TestAnswerBelongsTo(t *testing.T) {
	for _, c := range []struct {
		name     string
		headerID string
		bodyID   string
		want     bool
	}{
		{
			name: "no request ID",
			want: true,
		},
		{
			name:     "own ID in header and body",
			headerID: "r-1",
			bodyID:   "r-1",
			want:     true,
		},
		{
			name:     "other ID in header",
			headerID: "r-2",
			bodyID:   "r-1",
		},
		{
			name:   "other ID in body, no header",
			bodyID: "r-2",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := upstreamAnswer{chat: wire.ChatAnswer{ID: c.bodyID}}
			is.New(t).Equal(answer.belongsTo("r-1", c.headerID), c.want)
		})
	}
}

func TestParseEvent(t *testing.T) {
	for _, c := range []struct {
		name string
		line string
		kind eventKind
		ok   bool
	}{
		{
			name: "blank line",
		},
		{
			name: "heartbeat",
			line: ": waiting",
			kind: eventHeartbeat,
			ok:   true,
		},
		{
			name: "end of stream",
			line: "data: [DONE]",
			kind: eventEnd,
			ok:   true,
		},
		{
			name: "data event",
			line: `data: {"id":"r-1","offset":4}`,
			kind: eventData,
			ok:   true,
		},
		{
			name: "truncated data event",
			line: `data: {"id":"r-1","off`,
			kind: eventError,
			ok:   true,
		},
		{
			name: "other field",
			line: "event: message",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			event, ok := parseEvent([]byte(c.line))
			is.Equal(ok, c.ok)
			is.Equal(event.kind, c.kind)
		})
	}
}

func FuzzParseEvent(f *testing.F) {
	f.Add([]byte(`data: {"id":"r-1","offset":4}`))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte(": x"))
	f.Fuzz(func(t *testing.T, line []byte) {
		event, ok := parseEvent(line)
		if ok && event.kind == eventData && len(event.data) == 0 {
			t.Fatal("data event without data")
		}
	})
}

// BenchmarkParseEvent measures parsing one data event of a stream.
func BenchmarkParseEvent(b *testing.B) {
	line := []byte(`data: {"id":"entry-1-0123456789ab-77","object":"chat.completion.chunk","attempt":"1","offset":41,"choices":[{"index":0,"delta":{"content":"w41-0f3a "}}]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := parseEvent(line); !ok {
			b.Fatal("event not parsed")
		}
	}
}
