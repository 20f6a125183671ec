package duties

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/duty"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
)

const (
	// leaseKey is the key of the lease record.
	leaseKey = "lease"
	// margin is how much before the end of the lease its holder stops, and how much longer others wait.
	margin = 500 * time.Millisecond
	// tickInterval is the time between two checks of what is due, which cost a few microseconds each.
	tickInterval = 200 * time.Millisecond
	// releaseTimeout limits the release of the lease when the process stops, which is near the end of its grace period.
	releaseTimeout = 300 * time.Millisecond
)

// Log is the topic of the store that holds the lease and the holder's other records.
type Log interface {
	// Newest returns the newest record of each key. If the store does not have the topic, it returns catalog.ErrNoTopic and
	// a batch with the era.
	Newest(ctx context.Context) (catalog.Batch, error)
	// AppendAt appends a record if the topic ends at an offset, and returns the era of the store. It returns ErrConflict if
	// the topic ends elsewhere and catalog.ErrRefused for a record that the store will never accept; after other errors the
	// append may still be executed.
	AppendAt(ctx context.Context, at int, record wire.FeedRecord) (era int, err error)
}

// Service holds the lease of the duties or waits for it; its exported fields must be set before Prepare.
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
	// Clocks reads the boot-time clock and the wall clock, and reports whether it could; nil for those of the machine.
	Clocks func() (reading duty.Reading, readable bool)
	// Logger receives a line for each change of the holder and for each failed call to the store.
	Logger zerolog.Logger

	// log protects the order of the calls to the store, one at a time. It is locked before mu.
	log  sync.Mutex
	wake chan struct{}

	mu       sync.Mutex
	election duty.Election
	pace     duty.Pace
	// records holds the newest records by key as read last, and gained those of when this node gained the lease.
	records map[string][]byte
	gained  map[string][]byte
	status  Status
	// logFailing is set while calls to the store fail, so that the first one alone is logged.
	logFailing bool
}

// Status is what a node knows of the holder.
type Status struct {
	// Holder is the name of the node that was heard or read of last as the holder, empty if there is none.
	Holder string
	// Number is the holder's number, 0 if unknown.
	Number int
	// Held tells whether this node holds the lease, and InForce whether it may act under it or has to renew it first.
	Held    bool
	InForce bool
	// Since is the boot-time clock's reading when Holder and Number were first known.
	Since time.Duration
	// Refused is the number of calls of this node that the platform API has refused for a higher number.
	Refused int
}

// Prepare must be called before any other method.
func (s *Service) Prepare() {
	if s.Clocks == nil {
		s.Clocks = readClocks
	}
	s.wake = make(chan struct{}, 1)
	s.pace.PerSecond = s.CallsPerSecond
	s.election = duty.Election{
		Self: s.Name,
		// The number is written as a JSON integer, so that its highest bit is not used.
		Boot:   rand.Uint64() >> 1,
		Lease:  s.Lease,
		Margin: margin,
		Small:  s.Small,
	}
}

// Run keeps or claims the lease until the context ends, and releases it then.
func (s *Service) Run(ctx context.Context) {
	now, readable := s.Clocks()
	if !readable {
		s.Logger.Error().Str("decision", "duty").Msg("the boot-time clock can't be read; this node takes no duties")
		return
	}
	s.mu.Lock()
	s.election.Start(now)
	s.mu.Unlock()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.Release()
			// The lease is released after the context of the process has ended.
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			s.step(releaseCtx)
			cancel()
			return
		case <-ticker.C:
		case <-s.wake:
		}
		s.step(ctx)
	}
}

// Held returns the number of this node's lease, and whether it holds the lease now. It reads the clocks, so that it is to
// be called before each call to the platform API.
func (s *Service) Held() (number int, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The clocks are read with the lock held, since waiting for it may take a while.
	now, readable := s.Clocks()
	if !readable {
		return 0, false
	}
	return s.election.Held(now)
}

// Records returns the newest records of the keys that Save wrote, as they were when this node gained the lease.
func (s *Service) Records() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.gained)
}

// Heard notes that a call of the holder has arrived with its number.
func (s *Service) Heard(holder string, number int) {
	s.update(func(now duty.Reading) { s.election.Heard(holder, number, now) })
}

// Refused notes that the platform API has refused a call with a number because it saw a higher one. The node is
// no longer the holder with this number.
func (s *Service) Refused(number int) {
	s.update(func(now duty.Reading) {
		s.status.Refused++
		s.election.Refused(number, now)
	})
	s.notify()
}

// Unreachable notes for how long the platform API can't be reached, or too few nodes are heard. After 3 s as the holder
// the node releases the lease.
func (s *Service) Unreachable(since time.Duration) {
	s.update(func(now duty.Reading) { s.election.Unreachable(since, now) })
	s.notify()
}

// Release gives up the lease for good, because the node is leaving. It does not wait for the store.
func (s *Service) Release() {
	s.update(func(now duty.Reading) { s.election.Close(now) })
	s.notify()
}

// Status returns what this node knows of the holder.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Age returns the time since the holder is known, 0 if there is none.
func (s *Service) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, readable := s.Clocks()
	if !readable || s.status.Number == 0 {
		return 0
	}
	return now.Boot - s.status.Since
}

// notify has the loop check at once what is due.
func (s *Service) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// update applies a change to the election and logs what follows from it. If the clocks can't be read, nothing is changed
// and the lease is not in force.
func (s *Service) update(change func(now duty.Reading)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, readable := s.Clocks()
	if !readable {
		return
	}
	change(now)
	s.observe(now)
}

// observe logs a change of the holder. It is called with mu held.
func (s *Service) observe(now duty.Reading) {
	before := s.status
	s.status.Holder, s.status.Number = s.election.Holder()
	s.status.Held = s.election.Number() != 0
	_, s.status.InForce = s.election.Held(now)
	if before.Held && (!s.status.Held || before.Number != s.status.Number) {
		s.gained = nil
		s.Logger.Info().
			Str("decision", "duty").
			Int("number", before.Number).
			Dur("held-ms", now.Boot-before.Since).
			Str("reason", s.election.Reason()).
			Msg("this node does not hold the lease of the duties any more")
	}
	if before.InForce && s.status.Held && !s.status.InForce {
		s.Logger.Warn().
			Str("decision", "duty").
			Int("number", s.status.Number).
			Msg("lease of the duties has run out here or is in doubt; nothing is sent until it is renewed")
	}
	if before.Holder == s.status.Holder && before.Number == s.status.Number && before.Held == s.status.Held {
		return
	}
	s.status.Since = now.Boot
	if s.status.Held {
		s.gained = maps.Clone(s.records)
		s.pace.Reset()
	}
	s.Logger.Info().
		Str("decision", "duty").
		Str("holder", s.status.Holder).
		Int("number", s.status.Number).
		Bool("self", s.status.Held).
		Msg("holder of the duties changed")
}
