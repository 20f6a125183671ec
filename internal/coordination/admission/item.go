package admission

import "time"

// Tiers is the number of service tiers; 0 is the highest.
const Tiers = 16

// LowestTier is the tier that is shed first.
const LowestTier = Tiers - 1

// Item is a request to a pool, waiting or running.
type Item struct {
	// ID identifies the request at this node.
	ID uint64
	// Tier is the service tier, 0 to LowestTier.
	Tier int
	// Due is when the first token is due; within a tier, the request that is due first starts first.
	Due time.Time
	// Deadline is when an answer is no longer of use to the caller.
	Deadline time.Time
	// ServiceTime is the expected service time.
	ServiceTime time.Duration
	// Resumable reports whether the running request can be stopped and resumed without losing output.
	Resumable bool
}

// Refusal explains why a request was not started or resumed, and when the caller may retry.
type Refusal struct {
	ID         uint64
	Reason     string
	RetryAfter time.Duration
}

// Actions lists the requests that the caller of a Queue method has to start, refuse or preempt.
type Actions struct {
	Start   []Start
	Refuse  []Refusal
	Preempt []Preemption
}

// Start starts a request. Tier is the tier at which the upstream should serve it, which is higher than the request's
// own for a trickle start.
type Start struct {
	ID   uint64
	Tier int
}

// Preemption starts the preemptor even beyond the limit, in place of a victim of a lower tier. The victim has to be
// stopped and passed to Requeue.
type Preemption struct {
	Victim    uint64
	Preemptor uint64
	Tier      int
}

// waitingItem is a request that waits to start, or to resume after a preemption. A preempted request is never refused.
type waitingItem struct {
	item      Item
	arrived   time.Time
	preempted bool
}

// runningItem is a request that has started; boosted marks a trickle start, served at a higher tier than its own.
type runningItem struct {
	item      Item
	started   time.Time
	producing bool
	preempted bool
	boosted   bool
}
