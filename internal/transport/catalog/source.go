package catalog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
)

// ErrRecordsDeleted is returned by Source.Read when the store does not have the records from an offset on: it deleted
// them, or was restored from a copy that ends before the offset. The topic has to be read with Source.Newest.
var ErrRecordsDeleted = eris.New("records were deleted")

// ErrRefused is returned for a call that the store will never accept as it is, such as an append of too large a record.
var ErrRefused = eris.New("store refuses the call for what it contains")

// ErrNoTopic is returned when the store does not have a topic, because nothing was appended to it yet.
var ErrNoTopic = eris.New("store has no such topic")

// ErrNoAnswer is returned when the store does not answer a call, or refuses it for now. Other nodes may still reach it.
var ErrNoAnswer = eris.New("no answer from the store")

// ErrUnreadable is returned by Source.Read if one of the records can't be decoded. Source.Newest leaves such a record out.
var ErrUnreadable = eris.New("record can't be decoded")

// Batch is the result of one read of a topic.
type Batch struct {
	Records []wire.FeedRecord
	// Next is the offset after the last record that the store has.
	Next int
	// More reports that a read from an offset would take several answers; Records is empty then.
	More bool
	// Era counts the restores of the store from an older copy, 0 if the store does not say.
	Era int
}

// Source reads one topic of the store.
type Source interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Batch, error)
	// Read returns the records from an offset on, or sets More if they are too many; if there are none, it waits for one for at most the given time.
	Read(ctx context.Context, from int, wait time.Duration) (Batch, error)
	// Receiving reports whether records are being received, which takes a while if there are many and the link is slow.
	Receiving() bool
}

// Copy is a second topic of the store that holds a copy of the first: the store may lose one topic while it serves the
// other.
type Copy interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Batch, error)
	// Save appends records to the copy. It returns ErrRefused if the copy can't hold them.
	Save(ctx context.Context, records []wire.FeedRecord) error
}
