package admission

import "time"

// preempt gives an arriving request the place of a lower, resumable running one, when it would miss what it is owed.
func (q *Queue) preempt(item Item, now time.Time) []Preemption {
	if !q.saturated() || !q.tight(item, now) {
		return nil
	}
	victim := q.victim(item.Tier)
	if victim == nil {
		return nil
	}
	victim.preempted = true
	q.startNow(item, now)
	return []Preemption{{
		Victim:    victim.item.ID,
		Preemptor: item.ID,
		Tier:      item.Tier,
	}}
}

// saturated reports whether the upstreams themselves are likely to have no free slot.
func (q *Queue) saturated() bool {
	return float64(len(q.running)) > float64(q.limit)/Overcommit
}

// tight reports whether a request is owed its first token sooner than waiting for a slot is likely to take.
func (q *Queue) tight(item Item, now time.Time) bool {
	return item.Due.Sub(now) < max(q.meanService(), q.EstimateWait(item.Tier))
}

// victim picks among the requests that have produced a token, since only they are sure to hold a slot.
func (q *Queue) victim(tier int) *running {
	var victim *running
	for _, r := range q.running {
		if r.item.Tier <= tier || !r.item.Resumable || !r.producing || r.preempted || r.boosted {
			continue
		}
		if victim == nil || worseThan(r, victim) {
			victim = r
		}
	}
	return victim
}

// startNow starts a request whether or not it waits, and without regard to the limit.
func (q *Queue) startNow(item Item, now time.Time) {
	for i, w := range q.tiers[item.Tier] {
		if w.item.ID == item.ID {
			q.take(item.Tier, i)
			break
		}
	}
	q.running[item.ID] = &running{
		item:    item,
		started: now,
	}
	q.earn(item.Tier)
}

// worseThan orders victims: the lowest tier first, then the one started last, which loses least.
func worseThan(a, b *running) bool {
	if a.item.Tier != b.item.Tier {
		return a.item.Tier > b.item.Tier
	}
	if !a.started.Equal(b.started) {
		return a.started.After(b.started)
	}
	return a.item.ID > b.item.ID
}

// MarkProducing notes that a running request has produced its first token.
func (q *Queue) MarkProducing(id uint64) {
	if r := q.running[id]; r != nil {
		r.producing = true
	}
}

// Requeue puts a stopped request back at the place of its due time and gives its capacity away.
func (q *Queue) Requeue(id uint64, left time.Duration, now time.Time) Actions {
	r := q.running[id]
	if r == nil {
		return Actions{}
	}
	delete(q.running, id)
	item := r.item
	item.ServiceTime = left
	q.insert(waiting{
		item:    item,
		arrived: r.started,
		stopped: true,
	})
	return q.start(now)
}
