package admission

// earnTrickle credits the lower waiting tiers with their share of one start at the given tier.
func (q *Queue) earnTrickle(tier int) {
	const maxCredit = 3
	if q.trickleTier(tier) >= 0 {
		q.trickleCredit = min(q.trickleCredit+q.TrickleShare, maxCredit)
	}
}

// trickleDue reports whether the credit suffices for a trickle start. Such a start is made even beyond the limit,
// since it only slows other requests down and displaces none.
func (q *Queue) trickleDue() bool {
	return q.limit > 0 && q.trickleCredit >= 1 && q.waitingCount > 0
}

// trickleTier returns the waiting tier below the highest one whose last trickle start is the longest ago, so that a
// busy tier can't starve the others, or -1 if no such tier waits.
func (q *Queue) trickleTier(highest int) int {
	next := -1
	for tier := highest + 1; tier < Tiers; tier++ {
		if len(q.tiers[tier]) > 0 && (next < 0 || q.lastTrickle[tier] < q.lastTrickle[next]) {
			next = tier
		}
	}
	return next
}

// longestWaiting returns the index of the tier's request that arrived first.
func (q *Queue) longestWaiting(tier int) int {
	longest := 0
	for i, w := range q.tiers[tier] {
		if w.arrived.Before(q.tiers[tier][longest].arrived) {
			longest = i
		}
	}
	return longest
}
