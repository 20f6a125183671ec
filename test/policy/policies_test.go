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
	nodeCount        = 9
	reportInterval   = time.Second
	tickInterval     = 100 * time.Millisecond
	exchangeInterval = time.Second
	dialTimeout      = 100 * time.Millisecond
	pool             = "engines"
	// resumeTime is the additional engine time that resuming a preempted stream takes: its prefill is repeated.
	resumeTime = prefillTime
)

// startTime is the wall-clock time that the queues and routers see at the start of a simulation.
var startTime = time.Unix(1_700_000_000, 0)

// policy decides when and where requests run; the simulation calls it as the simulated time passes.
type policy interface {
	// arrive takes a new request, or one to be sent again.
	arrive(r *request)
	// cancel removes a request whose caller has given up.
	cancel(r *request)
	// done is called after a request has completed.
	done(r *request)
	// lost is called when the engine of a request has crashed.
	lost(r *request)
	// tick is called every tickInterval.
	tick()
}

// baseline sends every request to an engine at once, round robin or, if leastInFlight is set, to the engine with the
// fewest requests in flight from the same node.
type baseline struct {
	w *world
	// lastIndex is the index, modulo the number of engines, of the engine considered last.
	lastIndex     int
	leastInFlight bool
	// inFlight counts the requests in flight by node and engine name.
	inFlight []map[string]int
}

func (b *baseline) arrive(r *request) {
	e := b.choose(r)
	b.inFlight[r.node][e.name]++
	if !b.w.canReach(r.node, e) {
		b.w.at(b.w.now+dialTimeout, func() {
			b.inFlight[r.node][e.name]--
			r.excluded = append(r.excluded, e.name)
			b.w.retryOrDrop(r)
		})
		return
	}
	b.w.enqueue(e, r)
}

func (b *baseline) choose(r *request) *engine {
	var best *engine
	for range b.w.engines {
		b.lastIndex++
		e := b.w.engines[b.lastIndex%len(b.w.engines)]
		if slices.Contains(r.excluded, e.name) {
			continue
		}
		if !b.leastInFlight {
			return e
		}
		if best == nil || b.inFlight[r.node][e.name] < b.inFlight[r.node][best.name] {
			best = e
		}
	}
	if best == nil {
		return b.w.engines[0]
	}
	return best
}

// release takes a request off the in-flight count of its engine.
func (b *baseline) release(r *request) {
	if r.engine != nil {
		b.inFlight[r.node][r.engine.name]--
	}
}

func (b *baseline) cancel(r *request) {
	b.release(r)
	b.w.stop(r)
}

func (b *baseline) done(*request) {}
func (b *baseline) lost(r *request) {
	b.w.retryOrDrop(r)
}
func (b *baseline) tick() {}

// lagoongwPolicy runs lagoongw's own admission and routing, with one queue and one router per node.
type lagoongwPolicy struct {
	w            *world
	queues       []*admission.Queue
	routers      []*routing.Router
	requests     map[uint64]*request
	estimator    *estimate.Estimator
	budget       *retry.Budget
	reportLag    time.Duration
	lastExchange time.Duration
	lastReport   time.Duration
}

func newLagoongwPolicy(w *world, lag time.Duration) *lagoongwPolicy {
	l := &lagoongwPolicy{
		w:         w,
		requests:  map[uint64]*request{},
		estimator: estimate.NewEstimator(),
		budget:    &retry.Budget{},
		reportLag: lag,
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
			Slots:            slotsPerEngine,
		})
	}
	for i := range nodeCount {
		region := fmt.Sprint(regionOf(i, nodeCount))
		table := replica.NewTable()
		table.Update(machines)
		queue := admission.NewQueue()
		queue.SetLimit(admission.NodeLimit(slotsPerEngine*len(w.engines), nodeCount, 0, 0), l.wallTime())
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

// regionOf places the first two thirds of the nodes or engines in region 0 and the others in region 1.
func regionOf(i, count int) int {
	if i >= count*2/3 {
		return 1
	}
	return 0
}

func (l *lagoongwPolicy) wallTime() time.Time { return startTime.Add(l.w.now) }

func (l *lagoongwPolicy) arrive(r *request) {
	l.requests[r.id] = r
	now := l.wallTime()
	l.apply(r.node, l.queues[r.node].Arrive(admission.Item{
		ID:          r.id,
		Tier:        r.class.tier,
		Due:         startTime.Add(r.arrived + r.class.targetWait),
		Deadline:    startTime.Add(r.arrived + r.class.deadline),
		ServiceTime: l.estimator.ServiceTime(r.class.name),
		Resumable:   true,
	}, now))
}

// apply carries out the actions of a node's queue.
func (l *lagoongwPolicy) apply(node int, actions admission.Actions) {
	for _, refusal := range actions.Refuse {
		r := l.requests[refusal.ID]
		l.countInversion(node, r, refusal.Reason)
		l.w.refuse(r)
	}
	for _, preemption := range actions.Preempt {
		victim := l.requests[preemption.Victim]
		preemptor := l.requests[preemption.Preemptor]
		if victim.engine != nil {
			preemptor.preferredEngine = victim.engine.name
		}
		preemptor.priority = preemption.Tier
		l.dispatch(preemptor)
		l.release(victim)
		l.w.stop(victim)
		victim.remainingWork += resumeTime
		l.w.result.wastedTokens += tokensOf(resumeTime)
		l.w.result.preemptions++
		l.apply(node, l.queues[node].Requeue(preemption.Victim, victim.remainingWork, l.wallTime()))
	}
	for _, start := range actions.Start {
		r := l.requests[start.ID]
		r.priority = start.Tier
		l.dispatch(r)
	}
}

// dispatch sends a request to the engine that the router chooses. If there is none or it cannot be reached, dispatch
// tries again after dialTimeout.
func (l *lagoongwPolicy) dispatch(r *request) {
	choice := l.routers[r.node].Choose(routing.Request{
		Pool:    pool,
		Tier:    r.class.tier,
		Exclude: r.excluded,
		Prefer:  r.preferredEngine,
	}, l.w.random.Uint64(), l.wallTime())
	if choice.Replica == nil {
		r.excluded = nil
		l.w.at(l.w.now+dialTimeout, func() { l.dispatchAgain(r) })
		return
	}
	target := l.engine(choice.Replica.Name())
	choice.Replica.Begin()
	if !l.w.canReach(r.node, target) {
		l.w.at(l.w.now+dialTimeout, func() {
			choice.Replica.End()
			choice.Replica.RecordFailure()
			r.excluded = append(r.excluded, target.name)
			l.dispatchAgain(r)
		})
		return
	}
	l.w.enqueue(target, r)
}

func (l *lagoongwPolicy) dispatchAgain(r *request) {
	if !r.ended {
		l.dispatch(r)
	}
}

func (l *lagoongwPolicy) engine(name string) *engine {
	for _, e := range l.w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// replica returns the record that a request's node keeps of an engine.
func (l *lagoongwPolicy) replica(r *request, name string) *replica.Replica {
	found, _ := l.routers[r.node].Table.Load().Replica(name)
	return found
}

// release takes a request off its node's count of requests at its engine.
func (l *lagoongwPolicy) release(r *request) {
	if r.engine != nil {
		l.replica(r, r.engine.name).End()
	}
}

func (l *lagoongwPolicy) cancel(r *request) {
	l.release(r)
	l.w.stop(r)
	l.apply(r.node, l.queues[r.node].Cancel(r.id, l.wallTime()))
}

func (l *lagoongwPolicy) done(r *request) {
	l.estimator.Observe(r.class.name, r.totalWork, 0)
	l.budget.RecordSuccess(0.1)
	l.apply(r.node, l.queues[r.node].Done(r.id, l.wallTime()))
}

// lost resumes a stream at its offset on another engine, at most twice and within the retry budget.
func (l *lagoongwPolicy) lost(r *request) {
	if r.retries < 2 && l.budget.Take() {
		r.retries++
		l.dispatch(r)
		return
	}
	l.apply(r.node, l.queues[r.node].Done(r.id, l.wallTime()))
	l.w.drop(r)
}

func (l *lagoongwPolicy) tick() {
	now := l.wallTime()
	if l.w.now-l.lastReport >= reportInterval {
		l.lastReport = l.w.now
		l.sendReports()
	}
	if l.w.now-l.lastExchange >= exchangeInterval {
		l.lastExchange = l.w.now
		l.exchangeDigests(now)
	}
	for i, queue := range l.queues {
		l.apply(i, queue.Tick(now))
	}
}

// sendReports delivers the current load of the engines that are up to all nodes after reportLag, and updates outlier
// ejection.
func (l *lagoongwPolicy) sendReports() {
	for _, e := range l.w.engines {
		if e.down {
			continue
		}
		report := wire.LoadReport{
			Running: len(e.running),
			Queued:  len(e.queue),
			Slots:   slotsPerEngine,
		}
		l.w.at(l.w.now+l.reportLag, func() {
			for _, router := range l.routers {
				found, _ := router.Table.Load().Replica(e.name)
				found.ApplyLoadReport(report, l.wallTime())
			}
		})
	}
	for _, router := range l.routers {
		router.Ejector.Tick(router.Table.Load(), l.wallTime())
	}
}

// exchangeDigests gives every node the demand and the admission floors of the others, which real nodes send each other
// in digests (membership messages).
func (l *lagoongwPolicy) exchangeDigests(now time.Time) {
	demands := make([]int, nodeCount)
	totalDemand := 0
	for i, queue := range l.queues {
		demands[i] = queue.Waiting() + queue.Running()
		totalDemand += demands[i]
	}
	for i, queue := range l.queues {
		for j, other := range l.queues {
			if i != j {
				queue.Floor.UpdatePeer(fmt.Sprint(j), other.Floor.Effective(now), other.Floor.Local(), now)
			}
		}
		l.apply(i, queue.SetLimit(
			admission.NodeLimit(slotsPerEngine*len(l.w.engines), nodeCount, demands[i], totalDemand), now))
	}
}

// countInversion counts a refusal for lack of capacity as a tier inversion if the node has more requests of a lower
// tier waiting than admission.Queue.Reserve, or if another node admits a lower tier.
func (l *lagoongwPolicy) countInversion(node int, r *request, reason string) {
	if reason != "queue full" && reason != "shed for a higher tier" {
		return
	}
	if l.queues[node].LowerTierWaiting(r.class.tier) {
		l.w.result.inversions++
		return
	}
	for _, other := range l.queues {
		if floor := other.Floor.Effective(l.wallTime()); floor > r.class.tier && floor <= classes[len(classes)-1].tier {
			l.w.result.inversions++
			return
		}
	}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 42)) }
