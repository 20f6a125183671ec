package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lagoongw/internal/coordination/admission"
	"lagoongw/internal/coordination/estimate"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/coordination/routing"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
)

const (
	nodes      = 9
	reportStep = time.Second
	tickStep   = 100 * time.Millisecond
	hearStep   = time.Second
	dialFails  = 100 * time.Millisecond
	pool       = "engines"
	// resumeCost is what an engine spends again on a stream that was stopped and resumed.
	resumeCost = prefill
)

var epoch = time.Unix(1_700_000_000, 0)

// policy decides where requests go; the world calls it with the fake clock.
type policy interface {
	arrive(r *request)
	left(r *request)
	done(r *request)
	lost(r *request)
	tick()
}

// chooser is a baseline: every request goes to an engine at once.
type chooser struct {
	w      *world
	next   int
	least  bool
	counts []map[string]int
}

func (c *chooser) arrive(r *request) {
	e := c.pick(r)
	c.counts[r.node][e.name]++
	if !c.w.reaches(r.node, e) {
		c.w.at(c.w.now+dialFails, func() {
			c.counts[r.node][e.name]--
			r.excluded = append(r.excluded, e.name)
			c.w.fail(r)
		})
		return
	}
	c.w.enqueue(e, r)
}

func (c *chooser) pick(r *request) *engine {
	var best *engine
	for range c.w.engines {
		c.next++
		e := c.w.engines[c.next%len(c.w.engines)]
		if slices.Contains(r.excluded, e.name) {
			continue
		}
		if !c.least {
			return e
		}
		if best == nil || c.counts[r.node][e.name] < c.counts[r.node][best.name] {
			best = e
		}
	}
	if best == nil {
		return c.w.engines[0]
	}
	return best
}

func (c *chooser) leave(r *request) {
	if r.engine != nil {
		c.counts[r.node][r.engine.name]--
	}
}

func (c *chooser) left(r *request) {
	c.leave(r)
	c.w.stop(r)
}

func (c *chooser) done(*request) {}
func (c *chooser) lost(r *request) {
	c.w.fail(r)
}
func (c *chooser) tick() {}

// lagoon is the project's own admission and routing, one queue and one router a node.
type lagoon struct {
	w        *world
	queues   []*admission.Queue
	routers  []*routing.Router
	requests map[uint64]*request
	classes  *estimate.Estimator
	budget   *retry.Budget
	lag      time.Duration
	lastHear time.Duration
	lastRep  time.Duration
}

func newLagoon(w *world, lag time.Duration) *lagoon {
	l := &lagoon{
		w:        w,
		requests: map[uint64]*request{},
		classes:  estimate.NewEstimator(),
		budget:   &retry.Budget{},
		lag:      lag,
	}
	var machines []wire.Machine
	for _, e := range w.engines {
		machines = append(machines, wire.Machine{
			Name:             e.name,
			Kind:             replica.KindEngine,
			Pool:             pool,
			Address:          e.name,
			AvailabilityZone: fmt.Sprint(e.region),
			Region:           fmt.Sprint(e.region),
			Slots:            slots,
		})
	}
	for i := range nodes {
		region := fmt.Sprint(regionOf(i, nodes))
		table := replica.NewTable()
		table.Update(machines)
		queue := admission.NewQueue()
		queue.SetLimit(admission.NodeLimit(slots*len(w.engines), nodes, 0, 0), l.clock())
		l.queues = append(l.queues, queue)
		l.routers = append(l.routers, &routing.Router{
			AvailabilityZone: region,
			Region:           region,
			Table:            table,
			Ejector:          routing.NewEjector(),
			ReportDecay:      routing.DefaultReportDecay,
			ColdPrefixCost:   routing.DefaultColdPrefixCost,
		})
	}
	return l
}

func regionOf(i, count int) int {
	if i >= count*2/3 {
		return 1
	}
	return 0
}

func (l *lagoon) clock() time.Time { return epoch.Add(l.w.now) }

func (l *lagoon) arrive(r *request) {
	l.requests[r.id] = r
	now := l.clock()
	l.apply(r.node, l.queues[r.node].Arrive(admission.Item{
		ID:          r.id,
		Tier:        r.class.tier,
		Due:         epoch.Add(r.arrived + r.class.owed),
		Deadline:    epoch.Add(r.arrived + r.class.deadline),
		ServiceTime: l.classes.ServiceTime(r.class.name),
		Resumable:   true,
	}, now))
}

func (l *lagoon) apply(node int, actions admission.Actions) {
	for _, refusal := range actions.Refuse {
		r := l.requests[refusal.ID]
		l.checkInversion(node, r, refusal.Reason)
		l.w.refuse(r)
	}
	for _, preemption := range actions.Preempt {
		r := l.requests[preemption.Victim]
		winner := l.requests[preemption.Preemptor]
		if r.engine != nil {
			winner.prefer = r.engine.name
		}
		winner.priority = preemption.Tier
		l.dispatch(winner)
		l.release(r)
		l.w.stop(r)
		r.work += resumeCost
		l.w.result.wasted += tokensOf(resumeCost)
		l.w.result.preempted++
		l.apply(node, l.queues[node].Requeue(preemption.Victim, r.work, l.clock()))
	}
	for _, start := range actions.Start {
		r := l.requests[start.ID]
		r.priority = start.Tier
		l.dispatch(r)
	}
}

func (l *lagoon) dispatch(r *request) {
	choice := l.routers[r.node].Choose(routing.Request{
		Pool:    pool,
		Tier:    r.class.tier,
		Exclude: r.excluded,
		Prefer:  r.prefer,
	}, l.w.random.Uint64(), l.clock())
	if choice.Replica == nil {
		r.excluded = nil
		l.w.at(l.w.now+dialFails, func() { l.dispatchAgain(r) })
		return
	}
	target := l.engine(choice.Replica.Name())
	choice.Replica.Begin()
	if !l.w.reaches(r.node, target) {
		l.w.at(l.w.now+dialFails, func() {
			choice.Replica.End()
			choice.Replica.RecordFailure()
			r.excluded = append(r.excluded, target.name)
			l.dispatchAgain(r)
		})
		return
	}
	l.w.enqueue(target, r)
}

func (l *lagoon) dispatchAgain(r *request) {
	if !r.ended {
		l.dispatch(r)
	}
}

func (l *lagoon) engine(name string) *engine {
	for _, e := range l.w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (l *lagoon) replica(r *request, name string) *replica.Replica {
	found, _ := l.routers[r.node].Table.Load().Replica(name)
	return found
}

func (l *lagoon) release(r *request) {
	if r.engine != nil {
		l.replica(r, r.engine.name).End()
	}
}

func (l *lagoon) left(r *request) {
	l.release(r)
	l.w.stop(r)
	l.apply(r.node, l.queues[r.node].Cancel(r.id, l.clock()))
}

func (l *lagoon) done(r *request) {
	l.classes.Observe(r.class.name, r.whole, 0)
	l.budget.RecordSuccess(0.1)
	l.apply(r.node, l.queues[r.node].Done(r.id, l.clock()))
}

// lost resumes a stream elsewhere at its offset, within the budget.
func (l *lagoon) lost(r *request) {
	if r.retries < 2 && l.budget.Take() {
		r.retries++
		l.dispatch(r)
		return
	}
	l.apply(r.node, l.queues[r.node].Done(r.id, l.clock()))
	l.w.drop(r)
}

func (l *lagoon) tick() {
	now := l.clock()
	if l.w.now-l.lastRep >= reportStep {
		l.lastRep = l.w.now
		l.report()
	}
	if l.w.now-l.lastHear >= hearStep {
		l.lastHear = l.w.now
		l.exchange(now)
	}
	for i, queue := range l.queues {
		l.apply(i, queue.Tick(now))
	}
}

// report lets every node learn, after the lag, what the engines have now.
func (l *lagoon) report() {
	for _, e := range l.w.engines {
		if e.down {
			continue
		}
		report := wire.LoadReport{
			Running: len(e.running),
			Queued:  len(e.queue),
			Slots:   slots,
		}
		l.w.at(l.w.now+l.lag, func() {
			for _, router := range l.routers {
				found, _ := router.Table.Load().Replica(e.name)
				found.ApplyLoadReport(report, l.clock())
			}
		})
	}
	for _, router := range l.routers {
		router.Ejector.Tick(router.Table.Load(), l.clock())
	}
}

// exchange is what the digests carry: demand and floors.
func (l *lagoon) exchange(now time.Time) {
	demands := make([]int, nodes)
	all := 0
	for i, queue := range l.queues {
		demands[i] = queue.Waiting() + queue.Running()
		all += demands[i]
	}
	for i, queue := range l.queues {
		for j, other := range l.queues {
			if i != j {
				queue.Floor.UpdatePeer(fmt.Sprint(j), other.Floor.Effective(now), other.Floor.Local(), now)
			}
		}
		l.apply(i, queue.SetLimit(admission.NodeLimit(slots*len(l.w.engines), nodes, demands[i], all), now))
	}
}

// checkInversion counts a refusal for lack of room while the node keeps a lower tier waiting beyond the reserve,
// or another node admits a lower one.
func (l *lagoon) checkInversion(node int, r *request, reason string) {
	if reason != "queue full" && reason != "shed for a higher tier" {
		return
	}
	if l.queues[node].LowerTierWaiting(r.class.tier) {
		l.w.result.inversions++
		return
	}
	for _, other := range l.queues {
		if floor := other.Floor.Effective(l.clock()); floor > r.class.tier && floor <= classes[len(classes)-1].tier {
			l.w.result.inversions++
			return
		}
	}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 42)) }
