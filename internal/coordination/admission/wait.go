package admission

import "time"

// EstimateWait returns the expected time until a request of a tier that arrives now can start.
func (q *Queue) EstimateWait(tier int) time.Duration {
	if q.canStartNow() {
		return 0
	}
	byPriority := q.priorityWait(tier)
	if q.TrickleShare <= 0 || q.highestWaitingTier() >= tier {
		return byPriority
	}
	return min(byPriority, q.trickleWait(tier))
}

// priorityWait estimates the wait without trickle starts: the work ahead, divided by the slots that arrivals of higher
// tiers are expected to leave free.
func (q *Queue) priorityWait(tier int) time.Duration {
	const minFreeShare = 0.01
	ahead := q.remainingWork()
	for t := 0; t <= tier; t++ {
		ahead += q.waitingWork[t]
	}
	free := max(float64(q.limit)-q.offered.aboveTier(tier), minFreeShare*float64(max(q.limit, 1)))
	return time.Duration(float64(ahead) / free)
}

// trickleWait estimates the wait for a trickle start, which the waiting lower tiers get in turn.
func (q *Queue) trickleWait(tier int) time.Duration {
	otherTiers := time.Duration(0)
	for t := q.highestWaitingTier() + 1; t < Tiers; t++ {
		if len(q.tiers[t]) > 0 && t != tier {
			otherTiers++
		}
	}
	starts := (otherTiers + 1) * time.Duration(len(q.tiers[tier])+1)
	startInterval := q.meanServiceTime() / time.Duration(max(q.limit, 1))
	return time.Duration(float64(starts*startInterval) / q.TrickleShare)
}

func (q *Queue) meanServiceTime() time.Duration {
	if len(q.running) == 0 {
		return 0
	}
	var sum time.Duration
	for _, r := range q.running {
		sum += r.item.ServiceTime
	}
	return sum / time.Duration(len(q.running))
}

// remainingWork estimates the work left in the running requests as half of their service time, which is the mean for
// requests observed at a random point of their service.
func (q *Queue) remainingWork() time.Duration {
	return q.meanServiceTime() * time.Duration(len(q.running)) / 2
}
