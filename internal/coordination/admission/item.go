package admission

import "time"

// Tiers is the number of service tiers; 0 is the highest.
const Tiers = 16

// LowestTier is the tier that is shed first.
const LowestTier = Tiers - 1

// Item is a request that waits for a pool or runs on it.
type Item struct {
	// ID names the request at this node.
	ID uint64
	// Tier is the service tier.
	Tier int
	// Due is when the first token is owed; it orders the requests of a tier.
	Due time.Time
	// Deadline is when an answer becomes worthless.
	Deadline time.Time
	// ServiceTime is the expected service time.
	ServiceTime time.Duration
	// Resumable reports whether the running request can be stopped and resumed without loss.
	Resumable bool
}

// Refusal is the final word on a request that did not run.
type Refusal struct {
	ID         uint64
	Reason     string
	RetryAfter time.Duration
}

// Actions is what the queue wants done after an event.
type Actions struct {
	Start   []Start
	Refuse  []Refusal
	Preempt []Preemption
}

// Start lets a request run; the upstream should treat it as one of the given tier, which the trickle raises.
type Start struct {
	ID   uint64
	Tier int
}

// Preemption starts a request beyond the limit in the place of a lower one, which has to stop and to be reported by Requeue.
type Preemption struct {
	Victim    uint64
	Preemptor uint64
	Tier      int
}

// waiting is a request that waits to start, or to go on when it was stopped; what has begun is not given up.
type waiting struct {
	item    Item
	arrived time.Time
	stopped bool
}

type running struct {
	item      Item
	started   time.Time
	producing bool
	preempted bool
	boosted   bool
}
