package admission

import "time"

// EstimateWait estimates how long a request of a tier arriving now would wait to start.
func (q *Queue) EstimateWait(tier int) time.Duration {
	if q.hasRoom() {
		return 0
	}
	strict := q.strictWait(tier)
	if q.TrickleShare <= 0 || q.topTier() >= tier {
		return strict
	}
	return min(strict, q.trickleWait(tier))
}

// strictWait counts the work ahead against the slots that higher arrivals are expected to leave free.
func (q *Queue) strictWait(tier int) time.Duration {
	const leastFree = 0.01
	ahead := q.remaining()
	for t := 0; t <= tier; t++ {
		ahead += q.work[t]
	}
	free := max(float64(q.limit)-q.offered.above(tier), leastFree*float64(max(q.limit, 1)))
	return time.Duration(float64(ahead) / free)
}

func (q *Queue) trickleWait(tier int) time.Duration {
	waiting := time.Duration(0)
	for t := q.topTier() + 1; t < Tiers; t++ {
		if len(q.tiers[t]) > 0 && t != tier {
			waiting++
		}
	}
	turns := (waiting + 1) * time.Duration(len(q.tiers[tier])+1)
	perStart := q.meanService() / time.Duration(max(q.limit, 1))
	return time.Duration(float64(turns*perStart) / q.TrickleShare)
}

func (q *Queue) meanService() time.Duration {
	if len(q.running) == 0 {
		return 0
	}
	var sum time.Duration
	for _, r := range q.running {
		sum += r.item.ServiceTime
	}
	return sum / time.Duration(len(q.running))
}

// remaining takes half of what runs as still to do, as for items at a random point of their service.
func (q *Queue) remaining() time.Duration {
	return q.meanService() * time.Duration(len(q.running)) / 2
}
