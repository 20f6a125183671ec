package admission

// earn adds the share of one start at a tier to what the lower waiting tiers are owed.
func (q *Queue) earn(tier int) {
	const most = 3
	if q.trickleTier(tier) >= 0 {
		q.trickle = min(q.trickle+q.TrickleShare, most)
	}
}

// turnDue reports whether a lower tier is owed a start, which it gets also beyond the limit: it delays, it displaces nobody.
func (q *Queue) turnDue() bool {
	return q.limit > 0 && q.trickle >= 1 && q.count > 0
}

// trickleTier returns the lower waiting tier whose turn is the longest ago, so that a busy one can't starve the others.
func (q *Queue) trickleTier(top int) int {
	next := -1
	for tier := top + 1; tier < Tiers; tier++ {
		if len(q.tiers[tier]) > 0 && (next < 0 || q.lastTurn[tier] < q.lastTurn[next]) {
			next = tier
		}
	}
	return next
}

func (q *Queue) longestWaiting(tier int) int {
	longest := 0
	for i, w := range q.tiers[tier] {
		if w.arrived.Before(q.tiers[tier][longest].arrived) {
			longest = i
		}
	}
	return longest
}
