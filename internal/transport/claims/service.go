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

// Log is what the service uses of the platform's log.
type Log interface {
	tail.Reader
	Append(ctx context.Context, stream string, records []string) (int, error)
}

const (
	// tickInterval is the time between two ticks of a claimer, which expire attempts and retry appends.
	tickInterval = 200 * time.Millisecond
	// readWait is how long a read of the log waits for the next record.
	readWait = 2 * time.Second
)

// Service claims idempotency keys for the requests of one node; its exported fields are set before Prepare.
//
// A node that holds a partition follows the partition's stream and keeps its index; other nodes claim through it. The
// holder of a key, in contrast, is the attempt whose claim to the key took effect.
type Service struct {
	// Log is the platform's log.
	Log Log
	// Sealer seals and opens the records of the claims streams.
	Sealer record.Sealer
	// Incarnation identifies one run of this node; it is the prefix of attempt IDs.
	Incarnation string
	// Partitions is the number of partitions, each with its own stream; it must be the same at all nodes.
	Partitions int
	// Lifetime is how long a key is valid; it must be shorter than the log's retention.
	Lifetime time.Duration
	// HoldsPartition reports whether this node holds a partition.
	HoldsPartition func(partition int) bool
	// PartitionHolders returns the peer addresses of the other nodes that hold a partition, the preferred one first.
	// Notes are sent in this order; claims rotate over the addresses.
	PartitionHolders func(partition int) []string
	// ClaimRemote claims a key at another node; AppendRemote sends another node a void or an outcome to append.
	ClaimRemote  func(ctx context.Context, address string, request wire.ClaimRequest) (wire.ClaimDecision, error)
	AppendRemote func(ctx context.Context, address string, r wire.ClaimRecord) error
	// VerdictTimeout is the longest wait for a verdict.
	VerdictTimeout time.Duration
	// Logger logs each verdict and each record that could not be sealed, appended or sent to a holder.
	Logger zerolog.Logger

	parts    []*partition
	attempts atomic.Int64
	appends  atomic.Int64
	// unsentNotes is the number of notes that no holder has accepted yet.
	unsentNotes atomic.Int64
	// holderTurns is the round-robin counter over the holders of a partition.
	holderTurns atomic.Int64
}

// partition runs the claimer of one partition.
type partition struct {
	service *Service
	number  int
	stream  string
	mu      sync.Mutex // guards claimer and waiters
	claimer *claim.Claimer
	waiters map[string]chan claim.Decision // by attempt ID
}

// Prepare creates the partitions; it must be called before any other method.
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

// Run follows the streams of the partitions that this node holds until the context ends.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, p := range s.parts {
		group.Go(func() { p.followWhileHeld(ctx) })
		group.Go(func() { p.tick(ctx) })
	}
	group.Wait()
}

// Ready reports whether the index of every partition that this node holds is ready.
func (s *Service) Ready() bool {
	for _, p := range s.parts {
		if s.HoldsPartition(p.number) && !p.ready() {
			return false
		}
	}
	return true
}

// KeyCount returns the number of keys in the indexes of all partitions.
func (s *Service) KeyCount() int {
	keys := 0
	for _, p := range s.parts {
		p.mu.Lock()
		keys += p.claimer.Index.KeyCount()
		p.mu.Unlock()
	}
	return keys
}

// Unwritten returns the number of records that are neither known to be in the log nor accepted by another holder.
func (s *Service) Unwritten() int {
	unwritten := int(s.unsentNotes.Load())
	for _, p := range s.parts {
		p.mu.Lock()
		unwritten += p.claimer.Unwritten()
		p.mu.Unlock()
	}
	return unwritten
}

// AppendCount returns the number of appends sent to the log.
func (s *Service) AppendCount() int64 { return s.appends.Load() }

// Ticket identifies a claim; after the verdict claim.Dispatch it must be passed to Finish or Release.
type Ticket struct {
	// Attempt is the ID of this attempt to claim the key.
	Attempt string

	part *partition
	key  string
	// remote is set if the claim was made through another node.
	remote bool
}

// Claim claims a key for a new attempt and waits for the verdict; the request may run only after claim.Dispatch.
//
// An attempt without a verdict by the context's deadline or within VerdictTimeout is given up with claim.NotRun.
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
		decision = s.claimAtHolder(ticket, digest, deadline)
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
		s.sendNote(ticket.part, result)
		return
	}
	ticket.part.apply(func() claim.Actions {
		return ticket.part.claimer.Finish(ticket.Attempt, result)
	})
}

// Release withdraws an attempt that got the verdict claim.Dispatch and of which no byte was sent.
func (s *Service) Release(ticket Ticket) {
	if ticket.remote {
		s.sendNote(ticket.part, newVoid(ticket.Attempt, ticket.key))
		return
	}
	ticket.part.apply(func() claim.Actions {
		return ticket.part.claimer.Release(ticket.Attempt)
	})
}

// ReadOutcome reads the outcome of the attempt that holds a key from the log; ok is false if the log did not return it.
func (s *Service) ReadOutcome(ctx context.Context, key string, holder claim.Holder) (r wire.ClaimRecord, ok bool) {
	stream := claim.Stream(claim.Partition(key, len(s.parts)))
	answer, err := s.Log.Read(ctx, stream, holder.OutcomeOffset(), 0)
	if err != nil || len(answer.Records) == 0 || answer.Records[0].Offset != holder.OutcomeOffset() {
		return r, false
	}
	err = s.Sealer.Open(stream, answer.Records[0].Data, &r)
	return r, err == nil && r.Attempt == holder.Attempt()
}
