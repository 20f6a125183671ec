package admission

import "time"

// Tiers is the number of priority tiers. Tier 0 is the highest; a lower tier has a larger number.
const Tiers = 16

// LowestTier is the tier that is shed first.
const LowestTier = Tiers - 1

// Item is a request to a pool, waiting or running.
type Item struct {
	// ID identifies the request at this node.
	ID uint64
	// Tier is the priority tier, 0 to LowestTier.
	Tier int
	// Due is when the first token is due; within a tier, the request that is due first starts first.
	Due time.Time
	// Deadline is the time after which an answer is of no use to the caller.
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
// own for a trickle start; see Queue.TrickleShare.
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
	item Item
	// arrived is when the request arrived, or for a preempted one when it started.
	arrived   time.Time
	preempted bool
}

// runningItem is a request that has started.
type runningItem struct {
	item    Item
	started time.Time
	// producing reports whether the request has produced its first token.
	producing bool
	// preempted reports whether the request was chosen as a victim and is yet to be passed to Requeue.
	preempted bool
	// boosted marks a trickle start, which is served at a higher tier than the request's own.
	boosted bool
}
