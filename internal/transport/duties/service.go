package duties

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
)

// Log is the topic of the store that holds the lease and the holder's other records.
type Log interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (catalog.Batch, error)
	// AppendAt appends a record if the partition ends at an offset, and returns the era of the store. It returns
	// ErrConflict if the partition ends elsewhere; after other errors the append may still be executed.
	AppendAt(ctx context.Context, at int, record wire.FeedRecord) (era int, err error)
}

// Service holds the lease of the duties or waits for it; its exported fields must be set before Run.
type Service struct {
	// Name is the name of this node.
	Name string
	// Log holds the lease.
	Log Log
	// Lease is the length of a lease.
	Lease time.Duration
	// CallsPerSecond limits the calls to the platform API, 0 for no limit.
	CallsPerSecond float64
	// Small tells that this node has less than half a core, so that others claim before it.
	Small bool
	// Live returns the names of the live nodes, including this one.
	Live func() []string
	// Logger receives a line for each change.
	Logger zerolog.Logger
}

// Held returns the number of this node's lease, and whether it holds the lease now. It checks the clocks, so that it is
// to be called before each call to the platform API.
func (s *Service) Held() (number int, held bool) { return 0, false }

// Save appends a record as the holder. It returns ErrNotHolder if this node does not hold the lease or was replaced. After
// other errors the record may still be saved.
func (s *Service) Save(_ context.Context, _ string, _ []byte) error { return ErrNotHolder }

// Records returns the newest records of the keys that Save wrote, as they were when this node gained the lease.
func (s *Service) Records() map[string][]byte { return nil }

// Heard notes that a call of the holder has arrived with its number.
func (s *Service) Heard(_ string, _ int) {}

// Refused notes that the platform API has refused a call with a number because it saw a higher one. The node stops to be
// the holder with this number.
func (s *Service) Refused(_ int) {}

// Unreachable notes for how long the platform API can't be reached, or too few nodes are heard. After 3 s as the holder
// the node releases the lease.
func (s *Service) Unreachable(_ time.Duration) {}

// Call sends a call to the platform API if this node still holds the lease with a number, and within the limit of calls
// and the back-off after failures. It returns ErrNotHolder or ErrBusy without sending otherwise, and else the error of
// send. It notes a platform API that can't be reached; Refused remains to be called after ErrRefused.
func (s *Service) Call(ctx context.Context, number int, send func(ctx context.Context) error) error {
	if current, held := s.Held(); !held || current != number {
		return ErrNotHolder
	}
	return send(ctx)
}

// Release gives up the lease for good, because the node is leaving.
func (s *Service) Release(_ context.Context) {}

// Run keeps or claims the lease until the context ends.
func (s *Service) Run(ctx context.Context) { <-ctx.Done() }
