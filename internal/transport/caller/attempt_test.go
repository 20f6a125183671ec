package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/estimate"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

func jobOf(t *testing.T, pool, idempotent string) *job {
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

// An attempt leaves time for two others, but a long chat answer is not taken for hung, and what runs once has all the time.
func TestTimeOfAnAttempt(t *testing.T) {
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
			job:      jobOf(t, "orders", "yes"),
			atMost:   time.Second,
			moreThan: 0,
		},
		{
			name:     "service, last attempt",
			job:      jobOf(t, "orders", "yes"),
			failures: 2,
			atMost:   3 * time.Second,
			moreThan: time.Second,
		},
		{
			name:     "chat of a class that usually takes a second",
			job:      jobOf(t, EnginePool, "yes"),
			atMost:   3 * time.Second,
			moreThan: time.Second,
		},
		{
			name:     "order that runs once",
			job:      jobOf(t, "orders", "no"),
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

func TestAnswersOfOthersAreNoticed(t *testing.T) {
	for _, c := range []struct {
		name   string
		header string
		body   string
		own    bool
	}{
		{
			name: "names nobody",
			own:  true,
		},
		{
			name:   "own header and body",
			header: "r-1",
			body:   "r-1",
			own:    true,
		},
		{
			name:   "header of another",
			header: "r-2",
			body:   "r-1",
		},
		{
			name: "body of another, no header",
			body: "r-2",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := reply{chat: wire.ChatAnswer{ID: c.body}}
			is.New(t).Equal(answer.belongsTo("r-1", c.header), c.own)
		})
	}
}

func TestPieces(t *testing.T) {
	for _, c := range []struct {
		name string
		line string
		kind pieceKind
		ok   bool
	}{
		{
			name: "blank line",
		},
		{
			name: "heartbeat",
			line: ": waiting",
			kind: pieceHeartbeat,
			ok:   true,
		},
		{
			name: "end mark",
			line: "data: [DONE]",
			kind: pieceEnd,
			ok:   true,
		},
		{
			name: "piece",
			line: `data: {"id":"r-1","offset":4}`,
			kind: pieceData,
			ok:   true,
		},
		{
			name: "piece cut in the middle",
			line: `data: {"id":"r-1","off`,
			kind: pieceError,
			ok:   true,
		},
		{
			name: "other field",
			line: "event: message",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, ok := parsePiece([]byte(c.line))
			is.Equal(ok, c.ok)
			is.Equal(p.kind, c.kind)
		})
	}
}

func FuzzPiece(f *testing.F) {
	f.Add([]byte(`data: {"id":"r-1","offset":4}`))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte(": x"))
	f.Fuzz(func(t *testing.T, line []byte) {
		p, ok := parsePiece(line)
		if ok && p.kind == pieceData && len(p.data) == 0 {
			t.Fatal("piece without data")
		}
	})
}

// BenchmarkPiece gives the time of reading one piece of a stream.
func BenchmarkPiece(b *testing.B) {
	line := []byte(`data: {"id":"entry-1-0123456789ab-77","object":"chat.completion.chunk","attempt":"1","offset":41,"choices":[{"index":0,"delta":{"content":"w41-0f3a "}}]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := parsePiece(line); !ok {
			b.Fatal("not a piece")
		}
	}
}
