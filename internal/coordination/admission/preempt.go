package admission

import "time"

// preempt gives an arriving request the slot of a running, resumable one of a lower tier if it would otherwise get its
// first token late. The arriving one may wait, or may have started beyond the slots; a trickle start displaces none.
func (q *Queue) preempt(item Item, now time.Time) []Preemption {
	own := q.running[item.ID]
	if own != nil && own.boosted || !q.saturated() || !q.wouldMissDue(item, now) {
		return nil
	}
	victim := q.selectVictim(item.Tier)
	if victim == nil {
		return nil
	}
	victim.preempted = true
	if own == nil {
		q.startNow(item, now)
	}
	return []Preemption{{
		Victim:    victim.item.ID,
		Preemptor: item.ID,
		Tier:      item.Tier,
	}}
}

// saturated reports whether the upstreams are likely to have no free slot, as the limit is overcommitted.
func (q *Queue) saturated() bool {
	return float64(len(q.running)) > float64(q.limit)/Overcommit
}

// wouldMissDue reports whether a request's first token is due before a slot is likely to be free.
func (q *Queue) wouldMissDue(item Item, now time.Time) bool {
	return item.Due.Sub(now) < max(q.meanServiceTime(), q.EstimateWait(item.Tier))
}

// selectVictim returns the request to preempt for one of the given tier, or nil. It considers only requests that have
// produced a token, since only they are sure to hold a slot.
func (q *Queue) selectVictim(tier int) *runningItem {
	var victim *runningItem
	for _, r := range q.running {
		if r.item.Tier <= tier || !r.item.Resumable || !r.producing || r.preempted || r.boosted {
			continue
		}
		if victim == nil || betterVictim(r, victim) {
			victim = r
		}
	}
	return victim
}

// startNow starts a request regardless of the limit, and removes it from the waiting ones.
func (q *Queue) startNow(item Item, now time.Time) {
	for i, w := range q.tiers[item.Tier] {
		if w.item.ID == item.ID {
			q.remove(item.Tier, i)
			break
		}
	}
	q.running[item.ID] = &runningItem{
		item:    item,
		started: now,
	}
	q.earnTrickle(item.Tier)
}

// betterVictim reports whether a is to be preempted before b: the lowest tier first, then the request that started
// last, which loses the least work.
func betterVictim(a, b *runningItem) bool {
	if a.item.Tier != b.item.Tier {
		return a.item.Tier > b.item.Tier
	}
	if !a.started.Equal(b.started) {
		return a.started.After(b.started)
	}
	return a.item.ID > b.item.ID
}

// MarkProducing records that a running request has produced its first token.
func (q *Queue) MarkProducing(id uint64) {
	if r := q.running[id]; r != nil {
		r.producing = true
	}
}

// Requeue queues a preempted request again, in the order of its due time, and starts others in the capacity that it
// frees; remaining is its remaining service time.
func (q *Queue) Requeue(id uint64, remaining time.Duration, now time.Time) Actions {
	r := q.running[id]
	if r == nil {
		return Actions{}
	}
	delete(q.running, id)
	item := r.item
	item.ServiceTime = remaining
	q.insert(waitingItem{
		item:      item,
		arrived:   r.started,
		preempted: true,
	})
	return q.startWaiting(now)
}
