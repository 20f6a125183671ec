package claims

import (
	"context"
	"time"

	"lagoongw/internal/coordination/claim"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

const (
	// noteTimeout is the timeout of one call that sends a note to a holder of the partition. A note is a void or an
	// outcome that the holder is to append.
	noteTimeout = time.Second
	// noteRetryInterval is the time between two tries to send a note.
	noteRetryInterval = 200 * time.Millisecond
	// noteMaxAge is how long sending a note is retried.
	noteMaxAge = 30 * time.Second
	// maxUnsentNotes is the maximum number of notes that are retried at the same time; beyond maxNotesWithBody, outcomes
	// are sent without their answers.
	maxUnsentNotes   = 4096
	maxNotesWithBody = 256
)

// claimAtHolder claims a key through a node that holds its partition; without an answer before the deadline it gives up
// the attempt and sends a void for it.
func (s *Service) claimAtHolder(ticket Ticket, digest string, deadline time.Time) claim.Decision {
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
	// Round robin spreads the claims, so that a dead holder fails only its share of them until it is detected.
	address := addresses[int(s.holderTurns.Add(1))%len(addresses)]
	answer, err := s.ClaimRemote(ctx, address, wire.ClaimRequest{
		Attempt:  ticket.Attempt,
		Key:      ticket.key,
		Digest:   digest,
		WithinMs: int(time.Until(deadline).Milliseconds()),
	})
	if err != nil || !time.Now().Before(deadline) {
		// The claim may be in the log. This node will never dispatch the attempt, so the claim can be voided.
		s.sendNote(ticket.part, newVoid(ticket.Attempt, ticket.key))
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

// newVoid returns the record that withdraws an attempt's claim to a key.
func newVoid(attempt, key string) wire.ClaimRecord {
	return wire.ClaimRecord{
		Type:    wire.ClaimRecordTypeVoid,
		Key:     key,
		Attempt: attempt,
	}
}

// sendNote sends a void or an outcome to any holder of the partition to append, and retries until one accepts it or
// noteMaxAge has passed. Without its note, a claim stays in force, so that later attempts get Unknown.
func (s *Service) sendNote(p *partition, r wire.ClaimRecord) {
	unsent := s.unsentNotes.Add(1)
	if unsent > maxUnsentNotes {
		s.unsentNotes.Add(-1)
		s.Logger.Error().Str("step", "send note").Str("key", r.Key).Str("type", string(r.Type)).
			Msg("claim record not written, too many wait for a holder; requests with its key will get the verdict unknown")
		return
	}
	if unsent > maxNotesWithBody {
		r.Body = ""
		r.BodyKept = false
	}
	go func() {
		defer s.unsentNotes.Add(-1)
		for deadline := time.Now().Add(noteMaxAge); time.Now().Before(deadline); time.Sleep(noteRetryInterval) {
			if s.trySendNote(p, r) {
				return
			}
		}
		s.Logger.Error().Str("step", "send note").Str("key", r.Key).Str("type", string(r.Type)).
			Msg("claim record not written; requests with its key will get the verdict unknown")
	}()
}

// trySendNote tries this node's own claimer or, if it does not hold the partition, each holder once.
func (s *Service) trySendNote(p *partition, r wire.ClaimRecord) bool {
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

// HandleClaim claims a key on behalf of another node and waits for the verdict.
func (s *Service) HandleClaim(request wire.ClaimRequest) wire.ClaimDecision {
	part := s.parts[claim.Partition(request.Key, len(s.parts))]
	if !s.HoldsPartition(part.number) {
		return wire.ClaimDecision{
			Verdict: string(claim.NotRun),
			Reason:  "this node does not read the claims of this key",
		}
	}
	timeout := min(time.Duration(request.WithinMs)*time.Millisecond, s.VerdictTimeout)
	decision := part.submit(request.Attempt, request.Key, request.Digest, time.Now().Add(timeout))
	return wire.ClaimDecision{
		Verdict:       string(decision.Verdict),
		Reason:        decision.Reason,
		Holder:        decision.Holder.Attempt(),
		Outcome:       string(decision.Holder.Outcome()),
		OutcomeOffset: decision.Holder.OutcomeOffset(),
	}
}

// HandleNote appends a void or an outcome on behalf of another node.
//
// It returns false for a claim, and if this node does not hold the partition of the key.
func (s *Service) HandleNote(r wire.ClaimRecord) (ok bool) {
	part := s.parts[claim.Partition(r.Key, len(s.parts))]
	if !s.HoldsPartition(part.number) || r.Type == wire.ClaimRecordTypeClaim {
		return false
	}
	part.apply(func() claim.Actions { return part.claimer.AppendForPeer(r) })
	return true
}
