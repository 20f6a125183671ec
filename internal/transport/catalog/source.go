package catalog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
)

// ErrRecordsDeleted is returned by Source.Read when the store no longer has the records from an offset on; the topic
// has to be read with Source.Newest.
var ErrRecordsDeleted = eris.New("records were deleted")

// Source reads one topic of the store.
type Source interface {
	// Newest returns the newest record of each key, and the offset after the last record.
	Newest(ctx context.Context) (records []wire.FeedRecord, next int, err error)
	// Read returns the records from an offset on; if there are none, it waits for one for at most the given time.
	Read(ctx context.Context, from int, wait time.Duration) (records []wire.FeedRecord, next int, err error)
}

// Copy is a second topic of the store that holds a copy of the first: the store may lose one topic while it serves the
// other.
type Copy interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (records []wire.FeedRecord, next int, err error)
	// Save appends records to the copy.
	Save(ctx context.Context, records []wire.FeedRecord) error
}
