package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/record"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/tail"
)

// Log is the part of the platform's log that claims need.
type Log interface {
	tail.Reader
	Append(ctx context.Context, stream string, records []string) (int, error)
}

const (
	tickEvery = 200 * time.Millisecond
	readWait  = 2 * time.Second
)

// Service claims keys for the requests of one node; its exported fields are set before Run.
type Service struct {
	// Log is the platform's log.
	Log Log
	// Sealer seals the records.
	Sealer record.Sealer
	// Incarnation names this start of this node.
	Incarnation string
	// Partitions is the number of claims streams, the same at all nodes.
	Partitions int
	// Lifetime is how long a key is honoured.
	Lifetime time.Duration
	// HoldsPartition reports whether this node reads a partition itself.
	HoldsPartition func(partition int) bool
	// PartitionHolders returns the peer addresses of the other nodes that read a partition, the preferred one first.
	PartitionHolders func(partition int) []string
	// ClaimRemote claims a key at another node; AppendRemote hands it a void or an outcome to append.
	ClaimRemote  func(ctx context.Context, address string, request wire.ClaimRequest) (wire.ClaimDecision, error)
	AppendRemote func(ctx context.Context, address string, r wire.ClaimRecord) error
	// VerdictTimeout bounds the wait for a verdict.
	VerdictTimeout time.Duration
	// Logger takes one line for each verdict.
	Logger zerolog.Logger

	parts    []*partition
	attempts atomic.Int64
	appends  atomic.Int64
	untold   atomic.Int64
	turns    atomic.Int64
}

type partition struct {
	service *Service
	number  int
	stream  string
	mu      sync.Mutex
	claimer *claim.Claimer
	waiters map[string]chan claim.Decision
}

// Prepare makes the partitions; it must be called before Run and Claim.
func (s *Service) Prepare() {
	for i := range s.Partitions {
		index := &claim.Index{
			Sealer:   s.Sealer,
			Stream:   claim.Stream(i),
			Lifetime: s.Lifetime,
		}
		s.parts = append(s.parts, &partition{
			service: s,
			number:  i,
			stream:  claim.Stream(i),
			claimer: claim.NewClaimer(index),
			waiters: map[string]chan claim.Decision{},
		})
	}
}

// Run follows the claims streams that this node holds until the context ends.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, p := range s.parts {
		group.Go(func() { p.followWhileHeld(ctx) })
		group.Go(func() { p.tick(ctx) })
	}
	group.Wait()
}

// Ready reports whether the whole window of every partition that this node reads itself has been read.
func (s *Service) Ready() bool {
	for _, p := range s.parts {
		if s.HoldsPartition(p.number) && !p.ready() {
			return false
		}
	}
	return true
}

// KeyCount returns the number of keys held over all partitions.
func (s *Service) KeyCount() int {
	keys := 0
	for _, p := range s.parts {
		p.mu.Lock()
		keys += p.claimer.Index.KeyCount()
		p.mu.Unlock()
	}
	return keys
}

// Unwritten returns the number of records that are not known to be in the log.
func (s *Service) Unwritten() int {
	unwritten := int(s.untold.Load())
	for _, p := range s.parts {
		p.mu.Lock()
		unwritten += p.claimer.Unwritten()
		p.mu.Unlock()
	}
	return unwritten
}

// AppendCount returns the number of appends sent.
func (s *Service) AppendCount() int64 { return s.appends.Load() }

// Ticket is a claim in progress or decided; it must be given to Finish or Release after a dispatch verdict.
type Ticket struct {
	Attempt string
	part    *partition
	key     string
	remote  bool
}

// Claim waits for the verdict on a key; when the context ends first the attempt is given up and must not run.
func (s *Service) Claim(ctx context.Context, key, digest string) (Ticket, claim.Decision) {
	part := s.parts[claim.Partition(key, len(s.parts))]
	ticket := Ticket{
		Attempt: fmt.Sprintf("%s-%d", s.Incarnation, s.attempts.Add(1)),
		part:    part,
		key:     key,
		remote:  !s.HoldsPartition(part.number),
	}
	deadline := time.Now().Add(s.VerdictTimeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	var decision claim.Decision
	if ticket.remote {
		decision = s.askHolder(ticket, digest, deadline)
	} else {
		decision = part.submit(ticket.Attempt, key, digest, deadline)
	}
	s.Logger.Info().
		Str("decision", "claim").
		Str("attempt", ticket.Attempt).
		Str("key", key).
		Str("verdict", string(decision.Verdict)).
		Str("reason", decision.Reason).
		Msg("claim decided")
	return ticket, decision
}

// Finish records the outcome of a dispatched attempt.
func (s *Service) Finish(ticket Ticket, result wire.ClaimRecord) {
	if ticket.remote {
		result.Type = wire.ClaimRecordTypeOutcome
		result.Key = ticket.key
		result.Attempt = ticket.Attempt
		s.note(ticket.part, result)
		return
	}
	ticket.part.apply(func() claim.Actions {
		return ticket.part.claimer.Finish(ticket.Attempt, result)
	})
}

// Release gives up a dispatch verdict of which no byte was sent.
func (s *Service) Release(ticket Ticket) {
	if ticket.remote {
		s.note(ticket.part, voidOf(ticket.Attempt, ticket.key))
		return
	}
	ticket.part.apply(func() claim.Actions {
		return ticket.part.claimer.Release(ticket.Attempt)
	})
}

// ReadOutcome reads an outcome back from the log; ok is false when the log did not give it.
func (s *Service) ReadOutcome(ctx context.Context, key string, holder claim.Holder) (r wire.ClaimRecord, ok bool) {
	stream := claim.Stream(claim.Partition(key, len(s.parts)))
	answer, err := s.Log.Read(ctx, stream, holder.OutcomeOffset(), 0)
	if err != nil || len(answer.Records) == 0 || answer.Records[0].Offset != holder.OutcomeOffset() {
		return r, false
	}
	err = s.Sealer.Open(stream, answer.Records[0].Data, &r)
	return r, err == nil && r.Attempt == holder.Attempt()
}
