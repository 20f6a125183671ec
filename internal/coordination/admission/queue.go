package admission

import (
	"slices"
	"sort"
	"time"
)

// Default settings of a Queue, and the bounds of the Retry-After of a refusal.
const (
	DefaultTrickleShare = 0.05
	DefaultMaxWaiting   = 256
	DefaultReserve      = 1
	// overfullFactor is the multiple of MaxWaiting that waits while a peer admits a lower tier than the one to shed.
	overfullFactor = 4
	minRetryAfter  = time.Second
	maxRetryAfter  = 30 * time.Second
)

// Queue decides when the requests of one node to one pool start; it is not safe for concurrent use.
type Queue struct {
	// MaxWaiting is the maximum number of waiting requests, not counting preempted ones. While a peer admits a lower tier
	// than the one to shed, it is overfullFactor times as many.
	MaxWaiting int
	// TrickleShare is the fraction of starts, 0 to 1, that goes to lower tiers in turn while a higher tier waits, so that
	// none starves. Such a start is a trickle start.
	TrickleShare float64
	// Reserve is the number of waiting requests of each tier that are never shed, so that no tier starves.
	Reserve int
	// Floor is the admission floor, which is exchanged with the other nodes.
	Floor Floor

	limit int
	// limitKnown is set by the first SetLimit; until then requests wait, however long their estimated wait is.
	limitKnown     bool
	tiers          [Tiers][]waitingItem
	waitingWork    [Tiers]time.Duration
	waitingCount   int
	preemptedCount int
	running        map[uint64]*runningItem
	trickleCredit  float64
	// lastTrickle holds the value of trickleStarts at each tier's most recent trickle start, for round robin.
	lastTrickle   [Tiers]int
	trickleStarts int
	offered       offeredLoad
}

// NewQueue returns a queue with the default settings and no limit yet.
func NewQueue() *Queue {
	return &Queue{
		MaxWaiting:   DefaultMaxWaiting,
		TrickleShare: DefaultTrickleShare,
		Reserve:      DefaultReserve,
		Floor:        NewFloor(),
		running:      map[uint64]*runningItem{},
	}
}

// Limit returns the number of requests that may run at once.
func (q *Queue) Limit() int { return q.limit }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waitingCount }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// SetLimit changes the number of requests that may run at once.
func (q *Queue) SetLimit(limit int, now time.Time) Actions {
	q.limit = limit
	q.limitKnown = true
	return q.startWaiting(now)
}

// Arrive adds a request, which is started, queued or refused; others may be shed or preempted for it.
func (q *Queue) Arrive(item Item, now time.Time) Actions {
	item.Tier = min(max(item.Tier, 0), LowestTier)
	q.Floor.observeTier(item.Tier, now)
	q.offered.add(item.Tier, item.ServiceTime, now)
	if refusal, refused := q.checkAdmission(item, now); refused {
		return Actions{Refuse: []Refusal{refusal}}
	}
	shed := q.shedIfFull(item, now)
	if len(shed) > 0 && shed[0].ID == item.ID {
		return Actions{Refuse: shed}
	}
	q.insert(waitingItem{
		item:    item,
		arrived: now,
	})
	actions := q.startWaiting(now)
	actions.Refuse = append(shed, actions.Refuse...)
	if preemptions := q.preempt(item, now); len(preemptions) > 0 {
		actions.Preempt = preemptions
		actions.Start = slices.DeleteFunc(actions.Start, func(s Start) bool { return s.ID == item.ID })
	}
	return actions
}

// checkAdmission returns the refusal of an arriving request and true if the request is not to be queued.
func (q *Queue) checkAdmission(item Item, now time.Time) (Refusal, bool) {
	if !now.Before(item.Deadline) {
		return q.newRefusal(item, "deadline passed"), true
	}
	if !q.limitKnown {
		return Refusal{}, false
	}
	if q.limit <= 0 {
		return q.newRefusal(item, "no upstream of the pool takes requests"), true
	}
	if q.canStartNow() || len(q.tiers[item.Tier]) < q.Reserve {
		return Refusal{}, false
	}
	if item.Tier > q.Floor.Effective(now) {
		return q.newRefusal(item, "tier below the admission floor"), true
	}
	timeLeft := item.Deadline.Sub(now)
	if q.EstimateWait(item.Tier) > timeLeft-min(item.ServiceTime, timeLeft/2) {
		return q.newRefusal(item, "cannot start before its deadline"), true
	}
	return Refusal{}, false
}

func (q *Queue) canStartNow() bool {
	return q.waitingCount == 0 && len(q.running) < q.limit
}

// shedIfFull refuses the newest request of the lowest sheddable tier, possibly the arriving one, if the queue is full.
func (q *Queue) shedIfFull(item Item, now time.Time) []Refusal {
	waiting := q.waitingCount - q.preemptedCount
	if waiting < q.MaxWaiting || q.canStartNow() {
		return nil
	}
	lowest := q.lowestSheddableTier()
	if lowest < item.Tier {
		lowest = item.Tier
	}
	q.Floor.Tighten(lowest, now)
	if !q.Floor.MayShed(lowest, now) && waiting < overfullFactor*q.MaxWaiting {
		return nil
	}
	if lowest == item.Tier {
		return []Refusal{q.newRefusal(item, "queue full")}
	}
	newest := q.newestSheddable(lowest)
	shed := q.remove(lowest, newest)
	return []Refusal{q.newRefusal(shed.item, "shed for a higher tier")}
}

// lowestSheddableTier returns the lowest tier with more sheddable requests than Reserve, or -1 if there is none.
func (q *Queue) lowestSheddableTier() int {
	for tier := LowestTier; tier >= 0; tier-- {
		if q.sheddableCount(tier) > q.Reserve {
			return tier
		}
	}
	return -1
}

// sheddableCount returns the number of waiting requests of a tier that never started; preempted ones are not shed.
func (q *Queue) sheddableCount(tier int) int {
	count := 0
	for _, w := range q.tiers[tier] {
		if !w.preempted {
			count++
		}
	}
	return count
}

func (q *Queue) newestSheddable(tier int) int {
	newest := -1
	for i, w := range q.tiers[tier] {
		if !w.preempted && (newest < 0 || w.arrived.After(q.tiers[tier][newest].arrived)) {
			newest = i
		}
	}
	return newest
}

func (q *Queue) insert(w waitingItem) {
	tier := w.item.Tier
	list := q.tiers[tier]
	index := sort.Search(len(list), func(i int) bool { return list[i].item.Due.After(w.item.Due) })
	q.tiers[tier] = slices.Insert(list, index, w)
	q.waitingWork[tier] += w.item.ServiceTime
	q.waitingCount++
	if w.preempted {
		q.preemptedCount++
	}
}

func (q *Queue) remove(tier, index int) waitingItem {
	w := q.tiers[tier][index]
	q.tiers[tier] = slices.Delete(q.tiers[tier], index, index+1)
	q.waitingWork[tier] -= w.item.ServiceTime
	q.waitingCount--
	if w.preempted {
		q.preemptedCount--
	}
	return w
}

// startWaiting fills the free capacity in the order of tier and due time, apart from trickle starts of lower tiers.
func (q *Queue) startWaiting(now time.Time) Actions {
	actions := q.Expire(now)
	for q.waitingCount > 0 && (len(q.running) < q.limit || q.trickleDue()) {
		w, tier := q.removeNext()
		q.running[w.item.ID] = &runningItem{
			item:    w.item,
			started: now,
			boosted: tier != w.item.Tier,
		}
		actions.Start = append(actions.Start, Start{
			ID:   w.item.ID,
			Tier: tier,
		})
	}
	return actions
}

// removeNext removes and returns the request to start next, and the tier at which the upstream should serve it.
func (q *Queue) removeNext() (w waitingItem, upstreamTier int) {
	top := q.highestWaitingTier()
	q.earnTrickle(top)
	tier := q.trickleTier(top)
	if tier < 0 || q.trickleCredit < 1 {
		return q.remove(top, 0), top
	}
	q.trickleCredit--
	q.trickleStarts++
	q.lastTrickle[tier] = q.trickleStarts
	return q.remove(tier, q.longestWaiting(tier)), top
}

// highestWaitingTier returns the highest tier with a waiting request, or LowestTier if no request waits.
func (q *Queue) highestWaitingTier() int {
	for tier := range q.tiers {
		if len(q.tiers[tier]) > 0 {
			return tier
		}
	}
	return LowestTier
}

// Done frees the capacity of a request that has ended.
func (q *Queue) Done(id uint64, now time.Time) Actions {
	delete(q.running, id)
	return q.startWaiting(now)
}

// Cancel removes a waiting or running request, such as one whose caller has left.
func (q *Queue) Cancel(id uint64, now time.Time) Actions {
	for tier := range q.tiers {
		for i, w := range q.tiers[tier] {
			if w.item.ID == id {
				q.remove(tier, i)
				return q.startWaiting(now)
			}
		}
	}
	return q.Done(id, now)
}

// Expire refuses the waiting requests whose deadline has passed, except preempted ones.
func (q *Queue) Expire(now time.Time) Actions {
	var actions Actions
	for tier := range q.tiers {
		for i := len(q.tiers[tier]) - 1; i >= 0; i-- {
			if q.tiers[tier][i].preempted || now.Before(q.tiers[tier][i].item.Deadline) {
				continue
			}
			w := q.remove(tier, i)
			actions.Refuse = append(actions.Refuse, q.newRefusal(w.item, "deadline passed while waiting"))
		}
	}
	return actions
}

// Tick refuses expired requests, starts waiting ones, and relaxes the admission floor if the queue is at most half
// full.
func (q *Queue) Tick(now time.Time) Actions {
	if q.waitingCount <= q.MaxWaiting/2 {
		q.Floor.Relax(now)
	}
	return q.startWaiting(now)
}

func (q *Queue) newRefusal(item Item, reason string) Refusal {
	after := min(max(q.EstimateWait(item.Tier), minRetryAfter), maxRetryAfter)
	return Refusal{
		ID:         item.ID,
		Reason:     reason,
		RetryAfter: after.Round(time.Second),
	}
}

// LowerTierWaiting reports whether a tier lower than the given one has more waiting requests than Reserve, not counting
// preempted ones.
func (q *Queue) LowerTierWaiting(tier int) bool {
	return q.lowestSheddableTier() > tier
}
