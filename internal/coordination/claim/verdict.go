package claim

import (
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// Verdict is the result of an attempt to claim a key.
type Verdict string

// The verdicts; only Dispatch allows the request to run.
const (
	// Dispatch means that the attempt holds the key and may run.
	Dispatch Verdict = "dispatch"
	// Replay means that the key has a recorded outcome, which answers the request.
	Replay Verdict = "replay"
	// Unknown means that an earlier attempt may have run or may still run.
	Unknown Verdict = "unknown"
	// Mismatch means that the key was claimed by a request with another digest.
	Mismatch Verdict = "mismatch"
	// NotRun means that this attempt does not run; the request may be tried again.
	NotRun Verdict = "not-run"
)

// Decision tells the transport what to do with an attempt.
type Decision struct {
	// Attempt is the ID of the attempt, empty for issued keys.
	Attempt string
	// Verdict is the result of the attempt.
	Verdict Verdict
	// Holder is the claim that holds the key, if there is one.
	Holder Holder
	// Reason explains the verdict to the caller.
	Reason string
}

// Append asks the transport to append records as one batch and to report the result with AppendDone.
type Append struct {
	// Batch is the number of the batch.
	Batch int
	// Records are the records to append, in order.
	Records []wire.ClaimRecord
}

// Actions are the effects of an event, which the transport carries out.
type Actions struct {
	// Decisions are the attempts that the event decided.
	Decisions []Decision
	// Append is the batch to append, or nil.
	Append *Append
}

// AppendResult tells whether the records of an append are in the log.
type AppendResult int

// The results of an append.
const (
	// Appended means that the log confirmed the append.
	Appended AppendResult = iota
	// NotAppended means that the log certainly did not append the records.
	NotAppended
	// MaybeAppended means that the records may be in the log already, or may still be appended.
	MaybeAppended
)

// decisionFor decides an attempt on a key that an earlier claim holds; an empty holder means that no claim holds it.
func decisionFor(id, digest string, holder Holder) Decision {
	decision := Decision{
		Attempt: id,
		Verdict: Unknown,
		Holder:  holder,
		Reason:  "claimed before; outcome not recorded yet",
	}
	switch {
	case holder.attempt == "":
		decision.Reason = "claim not found where it was appended"
	case holder.digest != digest:
		decision.Verdict = Mismatch
		decision.Reason = "same key, other request"
	case holder.outcome == outcome.Unknown:
		decision.Reason = "an earlier attempt may have run"
	case holder.outcome != "":
		decision.Verdict = Replay
		decision.Reason = "outcome recorded"
	}
	return decision
}

// singleDecision returns actions with one decision and no append.
func singleDecision(id string, verdict Verdict, holder Holder, reason string) Actions {
	return Actions{Decisions: []Decision{{
		Attempt: id,
		Verdict: verdict,
		Holder:  holder,
		Reason:  reason,
	}}}
}
