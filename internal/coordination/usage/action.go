package usage

// Kind is the kind of an Action.
type Kind int

// The kinds of actions.
const (
	// Fix saves the counts of a window; they may be sent only after the store has confirmed them.
	Fix Kind = iota
	// Send reports the counts of a fixed window.
	Send
	// LeaveOut logs that windows are not reported.
	LeaveOut
)

// Action is something that the holder is to do.
type Action struct {
	Kind   Kind
	Window int
	// Windows is the number of windows from Window on that are left out, 1 for other actions.
	Windows int
	// Counts holds the counts by team to save or to send; they must not be modified.
	Counts map[string]int
	// Repeated reports that the counts have been sent before.
	Repeated bool
	// Reason says why windows are left out.
	Reason Reason
}

// Reason is why a window is left out.
type Reason string

// The reasons.
const (
	// ReasonMissing means that nodes which may have had too many of the window's requests were not heard in time.
	ReasonMissing Reason = "nodes-not-heard"
	// ReasonEra means that the store was restored from an older copy, which may have lost the window's fixed counts.
	ReasonEra Reason = "store-restored"
	// ReasonUnfixed means that the store did not confirm the counts in time.
	ReasonUnfixed Reason = "not-saved"
	// ReasonUnsent means that no report was accepted in time; one may have been executed without an answer.
	ReasonUnsent Reason = "not-accepted"
	// ReasonNoHolder means that no node held the duties in time.
	ReasonNoHolder Reason = "no-holder"
)

// Reasons lists all reasons.
func Reasons() []Reason {
	return []Reason{ReasonMissing, ReasonEra, ReasonUnfixed, ReasonUnsent, ReasonNoHolder}
}
