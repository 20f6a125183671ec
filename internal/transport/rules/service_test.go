package rules

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/rollout"
	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
)

// pagedLog returns one record a read, after a delay.
type pagedLog struct {
	records []string
	delay   time.Duration
}

func (l *pagedLog) Read(ctx context.Context, _ string, from int, wait time.Duration) (wire.ReadAnswer, error) {
	delay := l.delay
	if from >= len(l.records) {
		delay = wait
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return wire.ReadAnswer{}, ctx.Err()
	}
	answer := wire.ReadAnswer{Next: len(l.records)}
	if from < len(l.records) {
		answer.Records = []wire.LogRecord{{
			Offset: from,
			Data:   l.records[from],
		}}
	}
	return answer, nil
}

func (l *pagedLog) Append(context.Context, string, []string) (int, error) { return 0, nil }

// TestStartingNodeIsNotReadyWithOldRules guards against a node that served by the first revision that it read of a log in which
// newer ones followed, and that paused for seconds between its reads of them.
func TestStartingNodeIsNotReadyWithOldRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sealer := record.Sealer{Secret: []byte("secret of the tests")}
		log := &pagedLog{delay: 10 * time.Millisecond}
		before := ""
		for revision := range 5 {
			after := fmt.Sprintf("rule=general class=advice tier=%d idempotent=yes # asked for by sales\n", revision+1)
			data, err := sealer.Seal(rollout.Stream, wire.RuleRecord{
				Type:      wire.RuleRecordTypePublish,
				PublishID: fmt.Sprint("publish-", revision),
				Base:      revision - 1,
				Hash:      rule.Hash(after),
				Edits:     rule.Delta(before, after),
			})
			is.NoErr(err)
			log.records = append(log.records, data)
			before = after
		}
		s := &Service{
			Log:                log,
			Fold:               rollout.NewFold(sealer),
			IsRelay:            func() bool { return false },
			IsCheckpointer:     func() bool { return false },
			OnInstall:          func() {},
			CheckpointInterval: time.Hour,
			Logger:             zerolog.Nop(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { s.Run(ctx) })
		defer group.Wait()
		defer cancel()
		for start := time.Now(); !s.Ready(); time.Sleep(time.Millisecond) {
			is.True(time.Since(start) < time.Second)
		}
		is.Equal(s.Revision(), 4)
	})
}
