package catalog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
)

// ErrRecordsDeleted says that the records after an offset were deleted; the newest ones have to be read anew.
var ErrRecordsDeleted = eris.New("records were deleted")

// Source reads one topic of the store.
type Source interface {
	// Newest returns the newest record of each key, and the offset after the last record.
	Newest(ctx context.Context) (records []wire.FeedRecord, next int, err error)
	// Read returns the records from an offset on; it waits for one at most that long.
	Read(ctx context.Context, from int, wait time.Duration) (records []wire.FeedRecord, next int, err error)
}

// Copy keeps a second copy of a topic in the store, apart from the first: parts of the store may be away alone.
type Copy interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (records []wire.FeedRecord, next int, err error)
	// Save adds records.
	Save(ctx context.Context, records []wire.FeedRecord) error
}
