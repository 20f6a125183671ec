package tail

import (
	"context"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/schedule"
)

const (
	firstPause = 100 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Reader reads a log stream from an offset on, waiting for the first record.
type Reader interface {
	Read(ctx context.Context, stream string, from int, wait time.Duration) (wire.ReadAnswer, error)
}

// Follower follows a stream; its exported fields are set before Run.
type Follower struct {
	// Log is the log to read.
	Log Reader
	// Stream is the name of the stream.
	Stream string
	// Wait is how long one read waits for records.
	Wait time.Duration
	// Pause is the time between reads that found nothing to wait for; zero reads on at once.
	Pause func() time.Duration
	// OnReset is told the window at the first read, and again when records were dropped unread.
	OnReset func(oldest, next int)
	// OnRecord is given each record in order.
	OnRecord func(entry wire.LogRecord)
	// OnRead is told after each read whether the log answered.
	OnRead func(up bool, err error)

	next    int
	started bool
}

// Run follows the stream until the context ends.
func (t *Follower) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		err := t.step(ctx)
		if ctx.Err() != nil {
			return
		}
		t.OnRead(err == nil, err)
		if err == nil {
			pause = firstPause
			schedule.Pause(ctx, t.idle())
			continue
		}
		schedule.Pause(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

func (t *Follower) idle() time.Duration {
	if t.Pause == nil {
		return 0
	}
	return t.Pause()
}

func (t *Follower) step(ctx context.Context) error {
	wait := t.Wait
	if !t.started {
		wait = 0
	}
	answer, err := t.Log.Read(ctx, t.Stream, t.next, wait)
	if err != nil {
		return err
	}
	if !t.started || answer.Oldest > t.next {
		t.started = true
		t.next = answer.Oldest
		t.OnReset(answer.Oldest, answer.Next)
	}
	for _, entry := range answer.Records {
		if entry.Offset < t.next {
			continue
		}
		t.next = entry.Offset + 1
		t.OnRecord(entry)
	}
	return nil
}
