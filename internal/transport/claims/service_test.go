package claims

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
)

// memoryLog is a log of one stream.
type memoryLog struct {
	mu      sync.Mutex
	records []wire.LogRecord
}

func (l *memoryLog) Append(_ context.Context, _ string, records []string) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := len(l.records)
	for i, data := range records {
		l.records = append(l.records, wire.LogRecord{
			Offset: first + i,
			TimeMs: int(time.Now().UnixMilli()),
			Data:   data,
		})
	}
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, _ string, from int, wait time.Duration) (wire.ReadAnswer, error) {
	for deadline := time.Now().Add(wait); l.length() <= from && time.Now().Before(deadline) && ctx.Err() == nil; {
		time.Sleep(time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return wire.ReadAnswer{
		Records: append([]wire.LogRecord(nil), l.records[min(from, len(l.records)):]...),
		Next:    len(l.records),
	}, ctx.Err()
}

func (l *memoryLog) length() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// newService returns a running service that holds its one partition; it stops when the context ends.
func newService(ctx context.Context, log Log) *Service {
	s := &Service{
		Log:              log,
		Sealer:           record.Sealer{Secret: []byte("a secret of sixteen")},
		Incarnation:      "entry-1",
		Partitions:       1,
		Lifetime:         time.Hour,
		HoldsPartition:   func(int) bool { return true },
		PartitionHolders: func(int) []string { return nil },
		VerdictTimeout:   2 * time.Second,
	}
	s.Prepare()
	go s.Run(ctx)
	time.Sleep(time.Second)
	return s
}

// TestRecordsThatCannotBeSealed guards against records that are dropped while their batch counts as appended: a claim
// waited for its verdict in vain, and an attempt counted as finished without its outcome.
func TestRecordsThatCannotBeSealed(t *testing.T) {
	tooLong := strings.Repeat("x", record.MaxBytes)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // lets the service stop
		defer cancel()
		log := &memoryLog{}
		s := newService(ctx, log)
		began := time.Now()
		_, decision := s.Claim(ctx, tooLong, "digest")
		is.Equal(decision.Verdict, claim.NotRun)
		is.Equal(decision.Reason, "log refused the claim")
		is.True(time.Since(began) < time.Second) // refused at once
		ticket, decision := s.Claim(ctx, "key", "digest")
		is.Equal(decision.Verdict, claim.Dispatch)
		s.Finish(ticket, wire.ClaimRecord{
			Outcome: "completed",
			Body:    tooLong,
		})
		synctest.Wait()
		_, decision = s.Claim(ctx, "key", "digest")
		is.Equal(decision.Verdict, claim.Unknown)
		is.Equal(s.Unwritten(), 0)
		is.Equal(log.length(), 1)           // the claim of the second key
		is.Equal(s.AppendCount(), int64(1)) // and no empty batch
	})
}

// TestNotesToHoldersAreBounded guards against keeping the outcomes of any number of requests, each with its answer and a
// goroutine, while no holder of the partition answers.
func TestNotesToHoldersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		reachable := false
		bodies, notes := 0, 0
		s := &Service{
			Partitions:       1,
			HoldsPartition:   func(int) bool { return false },
			PartitionHolders: func(int) []string { return []string{"holder"} },
			AppendRemote: func(_ context.Context, _ string, r wire.ClaimRecord) error {
				mu.Lock()
				defer mu.Unlock()
				if !reachable {
					return context.DeadlineExceeded
				}
				notes++
				if r.BodyKept {
					bodies++
				}
				return nil
			},
		}
		s.Prepare()
		for range 2 * maxUnsentNotes {
			s.Finish(Ticket{
				part:   s.parts[0],
				remote: true,
			}, wire.ClaimRecord{
				Outcome:  "completed",
				Body:     "an answer",
				BodyKept: true,
			})
		}
		is.Equal(s.Unwritten(), maxUnsentNotes)
		time.Sleep(time.Second)
		mu.Lock()
		reachable = true
		mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(s.Unwritten(), 0)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(notes, maxUnsentNotes)
		is.Equal(bodies, maxNotesWithBody)
	})
}
