package admission

import "time"

// preempt picks a lower, resumable running request to stop when an arriving one would miss what it is owed.
func (q *Queue) preempt(item Item, now time.Time) []uint64 {
	if _, started := q.running[item.ID]; started {
		return nil
	}
	if !now.Add(q.Wait(item.Tier)).After(item.Due) {
		return nil
	}
	var victim *running
	for _, r := range q.running {
		if r.item.Tier <= item.Tier || !r.item.Resumable || r.preempted {
			continue
		}
		if victim == nil || worseThan(r, victim) {
			victim = r
		}
	}
	if victim == nil {
		return nil
	}
	victim.preempted = true
	return []uint64{victim.item.ID}
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

// Preempted puts a stopped request back at the place of its due time and gives its capacity away.
func (q *Queue) Preempted(id uint64, left time.Duration, now time.Time) Actions {
	r := q.running[id]
	if r == nil {
		return Actions{}
	}
	delete(q.running, id)
	item := r.item
	item.Service = left
	q.insert(waiting{
		item:    item,
		arrived: r.started,
	})
	return q.start(now)
}
