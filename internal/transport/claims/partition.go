package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/platform"
	"lagoongw/internal/transport/schedule"
	"lagoongw/internal/transport/tail"
)

// holderCheckInterval is the time between two checks of whether this node holds the partition.
const holderCheckInterval = 200 * time.Millisecond

func (p *partition) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claimer.Index.Ready()
}

// followWhileHeld follows the stream while this node holds the partition, and after that until nothing is pending.
//
// It then clears the index. When it follows the stream again, the index is ready only after all records that the log
// holds at that time have been read.
func (p *partition) followWhileHeld(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.service.HoldsPartition(p.number) {
			schedule.Pause(ctx, holderCheckInterval)
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		var group sync.WaitGroup
		group.Go(func() { p.followStream(followCtx) })
		for ctx.Err() == nil && (p.service.HoldsPartition(p.number) || p.hasPending()) {
			schedule.Pause(ctx, holderCheckInterval)
		}
		cancel()
		group.Wait()
		p.mu.Lock()
		p.claimer.Index.Clear()
		p.mu.Unlock()
	}
}

// hasPending reports whether requests wait for a verdict or records are not yet known to be in the log.
func (p *partition) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.claimer.Waiting()+p.claimer.Unwritten() > 0
}

// submit claims a key through this node's own claimer and waits for the verdict.
func (p *partition) submit(attempt, key, digest string, deadline time.Time) claim.Decision {
	waiter := make(chan claim.Decision, 1)
	p.apply(func() claim.Actions {
		p.waiters[attempt] = waiter
		return p.claimer.Submit(attempt, key, digest, deadline)
	})
	return <-waiter
}

func (p *partition) followStream(ctx context.Context) {
	follower := &tail.Follower{
		Log:    p.service.Log,
		Stream: p.stream,
		Wait:   readWait,
		OnReset: func(oldest, next int) {
			p.apply(func() claim.Actions { return p.claimer.Restart(oldest, next) })
		},
		OnRecord: func(entry wire.LogRecord) {
			p.apply(func() claim.Actions { return p.claimer.ApplyRecord(entry, time.Now()) })
		},
		OnRead: func(up bool, _ error) {
			p.apply(func() claim.Actions { return p.claimer.SetLogDown(!up) })
		},
	}
	follower.Run(ctx)
}

func (p *partition) tick(ctx context.Context) {
	schedule.Every(ctx, tickInterval, func(now time.Time) {
		p.apply(func() claim.Actions { return p.claimer.Tick(now) })
	})
}

// apply runs one claimer event under the lock, delivers its decisions and starts its append.
func (p *partition) apply(event func() claim.Actions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	actions := event()
	for _, decision := range actions.Decisions {
		if waiter := p.waiters[decision.Attempt]; waiter != nil {
			delete(p.waiters, decision.Attempt)
			waiter <- decision
		}
	}
	if actions.Append != nil {
		batch := *actions.Append
		go p.appendBatch(batch)
	}
}

// appendBatch appends a batch to the log and reports the result to the claimer.
func (p *partition) appendBatch(batch claim.Append) {
	result := claim.Appended
	if records := p.sealBatch(batch); len(records) > 0 {
		result = p.appendRecords(records)
	}
	p.apply(func() claim.Actions { return p.claimer.AppendDone(batch.Batch, result) })
}

// sealBatch returns the sealed records of a batch without those that can't be sealed, which it reports to the claimer.
func (p *partition) sealBatch(batch claim.Append) []string {
	records := make([]string, 0, len(batch.Records))
	for _, r := range batch.Records {
		data, err := p.service.Sealer.Seal(p.stream, r)
		if err != nil {
			p.service.Logger.Error().Err(err).Str("step", "seal claim").Str("attempt", r.Attempt).Str("type", string(r.Type)).
				Msg("claim record not appended: sealing failed")
			p.apply(func() claim.Actions { return p.claimer.SkipRecord(batch.Batch, r) })
			continue
		}
		records = append(records, data)
	}
	return records
}

func (p *partition) appendRecords(records []string) claim.AppendResult {
	p.service.appends.Add(1)
	_, err := p.service.Log.Append(context.Background(), p.stream, records)
	if err == nil {
		return claim.Appended
	}
	p.service.Logger.Warn().Err(err).Str("step", "append claims").Str("peer", "platform").Msg("log append failed")
	if errors.Is(err, platform.ErrNotAppended) {
		return claim.NotAppended
	}
	return claim.MaybeAppended
}
