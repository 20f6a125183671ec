package admission

import (
	"slices"
	"sort"
	"time"
)

// Defaults of the queue's settings.
const (
	DefaultTrickleShare = 0.05
	DefaultMaxWaiting   = 256
	DefaultReserve      = 1
	minRetryAfter       = time.Second
	maxRetryAfter       = 30 * time.Second
)

// Queue admits the requests of one node to one pool; it is not safe for concurrent use.
type Queue struct {
	// MaxWaiting bounds the waiting requests that have not begun.
	MaxWaiting int
	// TrickleShare is the share of starts given to the longest-waiting lower tier.
	TrickleShare float64
	// Reserve is the number of waiting requests of each tier that are never shed, so that no tier starves.
	Reserve int
	// Floor is exchanged with the other nodes.
	Floor Floor

	limit int
	// sized is set once the limit is known; before that nothing is estimated, and requests wait for it.
	sized   bool
	tiers   [Tiers][]waiting
	work    [Tiers]time.Duration
	count   int
	stopped int
	running map[uint64]*running
	trickle float64
	// lastTurn is the number of the trickle's last turn of each tier.
	lastTurn [Tiers]int
	turns    int
	offered  offered
}

// NewQueue returns a queue with default settings and no capacity.
func NewQueue() *Queue {
	return &Queue{
		MaxWaiting:   DefaultMaxWaiting,
		TrickleShare: DefaultTrickleShare,
		Reserve:      DefaultReserve,
		Floor:        NewFloor(),
		running:      map[uint64]*running{},
	}
}

// Limit returns the number of requests that may run at once.
func (q *Queue) Limit() int { return q.limit }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.count }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// SetLimit changes the number of requests that may run at once.
func (q *Queue) SetLimit(limit int, now time.Time) Actions {
	q.limit = limit
	q.sized = true
	return q.start(now)
}

// Arrive takes in a request, which is started, kept waiting or refused.
func (q *Queue) Arrive(item Item, now time.Time) Actions {
	item.Tier = min(max(item.Tier, 0), LowestTier)
	q.Floor.see(item.Tier)
	q.offered.arrive(item.Tier, item.ServiceTime, now)
	if refusal, refused := q.refuse(item, now); refused {
		return Actions{Refuse: []Refusal{refusal}}
	}
	evicted := q.makeRoom(item, now)
	if len(evicted) > 0 && evicted[0].ID == item.ID {
		return Actions{Refuse: evicted}
	}
	q.insert(waiting{
		item:    item,
		arrived: now,
	})
	actions := q.start(now)
	actions.Refuse = append(evicted, actions.Refuse...)
	if preemptions := q.preempt(item, now); len(preemptions) > 0 {
		actions.Preempt = preemptions
		actions.Start = slices.DeleteFunc(actions.Start, func(s Start) bool { return s.ID == item.ID })
	}
	return actions
}

func (q *Queue) refuse(item Item, now time.Time) (Refusal, bool) {
	if !now.Before(item.Deadline) {
		return q.refusal(item, "deadline passed"), true
	}
	if !q.sized {
		return Refusal{}, false
	}
	if q.limit <= 0 {
		return q.refusal(item, "no upstream of the pool takes requests"), true
	}
	if q.hasRoom() || len(q.tiers[item.Tier]) < q.Reserve {
		return Refusal{}, false
	}
	if item.Tier > q.Floor.Effective(now) {
		return q.refusal(item, "tier below the admission floor"), true
	}
	left := item.Deadline.Sub(now)
	if q.EstimateWait(item.Tier) > left-min(item.ServiceTime, left/2) {
		return q.refusal(item, "cannot start before its deadline"), true
	}
	return Refusal{}, false
}

func (q *Queue) hasRoom() bool {
	return q.count == 0 && len(q.running) < q.limit
}

// makeRoom sheds the newest request of the lowest tier when the queue is full, which may be the arriving one.
func (q *Queue) makeRoom(item Item, now time.Time) []Refusal {
	if q.count-q.stopped < q.MaxWaiting || q.hasRoom() {
		return nil
	}
	lowest := q.lowestAboveReserve()
	if lowest < item.Tier {
		lowest = item.Tier
	}
	q.Floor.Tighten(lowest, now)
	if !q.Floor.MayShed(lowest, now) {
		return nil
	}
	if lowest == item.Tier {
		return []Refusal{q.refusal(item, "queue full")}
	}
	newest := q.newest(lowest)
	shed := q.take(lowest, newest)
	return []Refusal{q.refusal(shed.item, "shed for a higher tier")}
}

func (q *Queue) lowestAboveReserve() int {
	for tier := LowestTier; tier >= 0; tier-- {
		if q.sheddable(tier) > q.Reserve {
			return tier
		}
	}
	return -1
}

// sheddable counts the waiting requests of a tier that have not begun.
func (q *Queue) sheddable(tier int) int {
	count := 0
	for _, w := range q.tiers[tier] {
		if !w.stopped {
			count++
		}
	}
	return count
}

func (q *Queue) newest(tier int) int {
	newest := -1
	for i, w := range q.tiers[tier] {
		if !w.stopped && (newest < 0 || w.arrived.After(q.tiers[tier][newest].arrived)) {
			newest = i
		}
	}
	return newest
}

func (q *Queue) insert(w waiting) {
	tier := w.item.Tier
	list := q.tiers[tier]
	at := sort.Search(len(list), func(i int) bool { return list[i].item.Due.After(w.item.Due) })
	q.tiers[tier] = slices.Insert(list, at, w)
	q.work[tier] += w.item.ServiceTime
	q.count++
	if w.stopped {
		q.stopped++
	}
}

func (q *Queue) take(tier, at int) waiting {
	w := q.tiers[tier][at]
	q.tiers[tier] = slices.Delete(q.tiers[tier], at, at+1)
	q.work[tier] -= w.item.ServiceTime
	q.count--
	if w.stopped {
		q.stopped--
	}
	return w
}

// start fills the free capacity: by tier, then by what is due first, with the trickle for lower tiers.
func (q *Queue) start(now time.Time) Actions {
	actions := q.Expire(now)
	for q.count > 0 && (len(q.running) < q.limit || q.turnDue()) {
		w, tier := q.next()
		q.running[w.item.ID] = &running{
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

// next returns the request to start, and the tier at which upstreams should treat it.
func (q *Queue) next() (w waiting, treatedAs int) {
	top := q.topTier()
	q.earn(top)
	tier := q.trickleTier(top)
	if tier < 0 || q.trickle < 1 {
		return q.take(top, 0), top
	}
	q.trickle--
	q.turns++
	q.lastTurn[tier] = q.turns
	return q.take(tier, q.longestWaiting(tier)), top
}

func (q *Queue) topTier() int {
	for tier := range q.tiers {
		if len(q.tiers[tier]) > 0 {
			return tier
		}
	}
	return LowestTier
}

// Done frees the place of a request that ran.
func (q *Queue) Done(id uint64, now time.Time) Actions {
	delete(q.running, id)
	return q.start(now)
}

// Cancel forgets a waiting or running request whose caller has left.
func (q *Queue) Cancel(id uint64, now time.Time) Actions {
	for tier := range q.tiers {
		for i, w := range q.tiers[tier] {
			if w.item.ID == id {
				q.take(tier, i)
				return q.start(now)
			}
		}
	}
	return q.Done(id, now)
}

// Expire refuses the waiting requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) Actions {
	var actions Actions
	for tier := range q.tiers {
		for i := len(q.tiers[tier]) - 1; i >= 0; i-- {
			if q.tiers[tier][i].stopped || now.Before(q.tiers[tier][i].item.Deadline) {
				continue
			}
			w := q.take(tier, i)
			actions.Refuse = append(actions.Refuse, q.refusal(w.item, "deadline passed while waiting"))
		}
	}
	return actions
}

// Tick expires requests and lets the floor rise when the pressure is gone.
func (q *Queue) Tick(now time.Time) Actions {
	if q.count <= q.MaxWaiting/2 {
		q.Floor.Relax(now)
	}
	return q.start(now)
}

func (q *Queue) refusal(item Item, reason string) Refusal {
	after := min(max(q.EstimateWait(item.Tier), minRetryAfter), maxRetryAfter)
	return Refusal{
		ID:         item.ID,
		Reason:     reason,
		RetryAfter: after.Round(time.Second),
	}
}

// LowerTierWaiting reports whether a tier lower than the given one waits beyond its reserve.
func (q *Queue) LowerTierWaiting(tier int) bool {
	return q.lowestAboveReserve() > tier
}
