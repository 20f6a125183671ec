package claims

import (
	"context"
	"time"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

const (
	noteTimeout = time.Second
	notePause   = 200 * time.Millisecond
	noteLife    = 30 * time.Second
)

// askHolder claims a key through a node that reads its partition; without a verdict in time the attempt is given up.
func (s *Service) askHolder(ticket Ticket, digest string, deadline time.Time) claim.Decision {
	addresses := s.PartitionHolders(ticket.part.number)
	if len(addresses) == 0 {
		return claim.Decision{
			Attempt: ticket.Attempt,
			Verdict: claim.NotRun,
			Reason:  "no node at hand reads the claims of this key",
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// Taking turns spreads the claims, and a dead holder costs only its part of them until it is noticed.
	address := addresses[int(s.turns.Add(1))%len(addresses)]
	answer, err := s.ClaimRemote(ctx, address, wire.ClaimRequest{
		Attempt:  ticket.Attempt,
		Key:      ticket.key,
		Digest:   digest,
		WithinMs: int(time.Until(deadline).Milliseconds()),
	})
	if err != nil || !time.Now().Before(deadline) {
		// The claim may be in the log; it is void from here on, as this node will never dispatch it.
		s.note(ticket.part, voidOf(ticket.Attempt, ticket.key))
		return claim.Decision{
			Attempt: ticket.Attempt,
			Verdict: claim.NotRun,
			Reason:  "the node that reads the claims of this key did not answer in time",
		}
	}
	return claim.Decision{
		Attempt: ticket.Attempt,
		Verdict: claim.Verdict(answer.Verdict),
		Holder:  claim.NewHolder(answer.Holder, outcome.Outcome(answer.Outcome), answer.OutcomeOffset),
		Reason:  answer.Reason,
	}
}

func voidOf(attempt, key string) wire.ClaimRecord {
	return wire.ClaimRecord{
		Type:    wire.ClaimRecordTypeVoid,
		Key:     key,
		Attempt: attempt,
	}
}

// note has a void or an outcome appended by any holder, until one has taken it or its time is over.
func (s *Service) note(p *partition, r wire.ClaimRecord) {
	s.untold.Add(1)
	go func() {
		defer s.untold.Add(-1)
		for until := time.Now().Add(noteLife); time.Now().Before(until); time.Sleep(notePause) {
			if s.tellOne(p, r) {
				return
			}
		}
		s.Logger.Error().Str("step", "tell holders").Str("key", r.Key).Str("type", string(r.Type)).Msg("claim record not written; its key will answer unknown")
	}()
}

func (s *Service) tellOne(p *partition, r wire.ClaimRecord) bool {
	if s.HoldsPartition(p.number) {
		p.apply(func() claim.Actions { return p.claimer.AppendForPeer(r) })
		return true
	}
	for _, address := range s.PartitionHolders(p.number) {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		err := s.AppendRemote(ctx, address, r)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// HandleClaim claims a key on behalf of another node.
func (s *Service) HandleClaim(request wire.ClaimRequest) wire.ClaimDecision {
	part := s.parts[claim.Partition(request.Key, len(s.parts))]
	if !s.HoldsPartition(part.number) {
		return wire.ClaimDecision{
			Verdict: string(claim.NotRun),
			Reason:  "this node does not read the claims of this key",
		}
	}
	within := min(time.Duration(request.WithinMs)*time.Millisecond, s.VerdictTimeout)
	decision := part.submit(request.Attempt, request.Key, request.Digest, time.Now().Add(within))
	return wire.ClaimDecision{
		Verdict:       string(decision.Verdict),
		Reason:        decision.Reason,
		Holder:        decision.Holder.Attempt(),
		Outcome:       string(decision.Holder.Outcome()),
		OutcomeOffset: decision.Holder.OutcomeOffset(),
	}
}

// HandleNote appends a void or an outcome on behalf of another node; ok is false where this node does not read the partition.
func (s *Service) HandleNote(r wire.ClaimRecord) (ok bool) {
	part := s.parts[claim.Partition(r.Key, len(s.parts))]
	if !s.HoldsPartition(part.number) || r.Type == wire.ClaimRecordTypeClaim {
		return false
	}
	part.apply(func() claim.Actions { return part.claimer.AppendForPeer(r) })
	return true
}
