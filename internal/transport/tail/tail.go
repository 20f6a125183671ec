package tail

import (
	"context"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/schedule"
)

// Pauses after failed reads. Each is twice as long as the one before, up to maxRetryPause.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// Reader reads the records of a log stream from an offset on, and waits up to the given time for the first one.
type Reader interface {
	Read(ctx context.Context, stream string, from int, wait time.Duration) (wire.ReadAnswer, error)
}

// Follower follows a stream; its exported fields must be set before Run.
type Follower struct {
	// Log is the log to read.
	Log Reader
	// Stream is the name of the stream.
	Stream string
	// Wait is how long a read waits for new records; the first read does not wait.
	Wait time.Duration
	// Pause, if set, returns how long to pause after a read of the newest record, 0 to read again at once.
	Pause func() time.Duration
	// OnReset is called at the first successful read, and again when records were truncated before they were read, with
	// the offsets of the oldest record and of the next one to be appended.
	OnReset func(oldest, next int)
	// OnRecord is called with each record, in the order of their offsets.
	OnRecord func(entry wire.LogRecord)
	// OnRead is called after each read; up reports whether the log answered, and err why it did not.
	OnRead func(up bool, err error)

	// next is the offset of the next record to read.
	next int
	// started is set by the first successful read.
	started bool
	// behind is set while the last read didn't return the newest record.
	behind bool
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		f.OnRead(err == nil, err)
		if err == nil {
			pause = minRetryPause
			schedule.Pause(ctx, f.pauseAfterRead())
			continue
		}
		schedule.Pause(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

func (f *Follower) pauseAfterRead() time.Duration {
	if f.Pause == nil || f.behind {
		return 0
	}
	return f.Pause()
}

func (f *Follower) readOnce(ctx context.Context) error {
	wait := f.Wait
	if !f.started {
		wait = 0
	}
	answer, err := f.Log.Read(ctx, f.Stream, f.next, wait)
	if err != nil {
		return err
	}
	if !f.started || answer.Oldest > f.next {
		f.started = true
		f.next = answer.Oldest
		f.OnReset(answer.Oldest, answer.Next)
	}
	for _, entry := range answer.Records {
		if entry.Offset < f.next {
			continue
		}
		f.next = entry.Offset + 1
		f.OnRecord(entry)
	}
	f.behind = len(answer.Records) > 0 && f.next < answer.Next
	return nil
}
