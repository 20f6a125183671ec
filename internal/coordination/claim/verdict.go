package claim

import (
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/outcome"
)

// Verdict is the decision on an attempt.
type Verdict string

// The verdicts: only Dispatch allows the request to run.
const (
	Dispatch Verdict = "dispatch"
	Replay   Verdict = "replay"
	Unknown  Verdict = "unknown"
	Mismatch Verdict = "mismatch"
	NotRun   Verdict = "not-run"
)

// Decision tells the transport what to do with an attempt.
type Decision struct {
	Attempt string
	Verdict Verdict
	Holder  Holder
	Reason  string
}

// Append asks the transport to append records as one batch and to report the result by the batch number.
type Append struct {
	Batch   int
	Records []wire.ClaimRecord
}

// Actions is what the claimer wants done after an event.
type Actions struct {
	Decisions []Decision
	Append    *Append
}

// AppendResult is what became of an append.
type AppendResult int

// The results of an append.
const (
	Appended AppendResult = iota
	NotAppended
	MaybeAppended
)

func judge(id, digest string, holder Holder) Decision {
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
	case holder.result == outcome.Unknown:
		decision.Reason = "an earlier attempt may have run"
	case holder.result != "":
		decision.Verdict = Replay
		decision.Reason = "outcome recorded"
	}
	return decision
}

func decide(id string, verdict Verdict, holder Holder, reason string) Actions {
	return Actions{Decisions: []Decision{{
		Attempt: id,
		Verdict: verdict,
		Holder:  holder,
		Reason:  reason,
	}}}
}
