package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoongw/internal/model/clock"
)

// Phases of a simulation. Requests that arrive during the warm-up are not measured; faults and bursts last from
// faultStart to faultEnd.
const (
	warmUpTime      = 20 * time.Second
	measurementTime = 100 * time.Second
	faultStart      = 40 * time.Second
	faultEnd        = 70 * time.Second
)

// scenario is a set of disturbances during a simulation. scheduleFaults implements slow, crash and partition, and
// scheduleArrivals implements burst.
type scenario struct {
	name      string
	burst     bool
	slow      bool
	crash     bool
	reportLag time.Duration
	partition bool
	engines   int
}

// classResult holds the results of one class, over the requests that arrived after the warm-up: sent counts them all,
// attained the completed ones whose first token arrived within the target, refused those that admission refused, and
// dropped those that reached their deadline without a first token or could not be sent again after a fault.
type classResult struct {
	sent        int
	attained    int
	completed   int
	refused     int
	dropped     int
	longestWait time.Duration
}

// result holds the results of a simulation.
type result struct {
	classes      map[string]*classResult
	usefulTokens float64
	wastedTokens float64
	inversions   int
	preemptions  int
}

func newResult() *result {
	r := &result{classes: map[string]*classResult{}}
	for _, c := range classes {
		r.classes[c.name] = &classResult{}
	}
	return r
}

// attainment returns the fraction of requests whose first token arrived within the target, 1 without requests.
func (c *classResult) attainment() float64 {
	if c.sent == 0 {
		return 1
	}
	return float64(c.attained) / float64(c.sent)
}

// buildFunc returns a new policy for a simulation.
type buildFunc func(w *world, s scenario) policy

func roundRobin(w *world, _ scenario) policy {
	for _, e := range w.engines {
		e.fifo = true
	}
	return newBaseline(w, false)
}

func leastInFlight(w *world, _ scenario) policy { return newBaseline(w, true) }

func lagoongw(w *world, s scenario) policy { return newLagoongwPolicy(w, s.reportLag) }

func newBaseline(w *world, leastInFlight bool) *baseline {
	b := &baseline{
		w:             w,
		leastInFlight: leastInFlight,
	}
	for range nodeCount {
		b.inFlight = append(b.inFlight, map[string]int{})
	}
	return b
}

// simulate runs a policy in a scenario under a load, given as a fraction of the fleet's capacity. Arrivals stop 200 s
// before the end, which lets the last requests complete.
func simulate(build buildFunc, load float64, s scenario, seed uint64) *result {
	w := &world{
		clock:  clock.New(origin),
		random: newRandom(seed),
		result: newResult(),
	}
	for i := range s.engines {
		w.engines = append(w.engines, &engine{
			name:    fmt.Sprintf("engine-%02d", i),
			region:  regionOf(i, s.engines),
			speed:   1,
			running: map[uint64]*request{},
		})
	}
	p := build(w, s)
	w.connectPolicy(p)
	scheduleFaults(w, s)
	scheduleArrivals(w, p, load, s, newRandom(seed+1))
	for t := tickInterval; t < warmUpTime+measurementTime; t += tickInterval {
		w.at(t, p.tick)
	}
	w.run(warmUpTime + measurementTime + 200*time.Second)
	return w.result
}

// connectPolicy makes the engines' events call a policy.
func (w *world) connectPolicy(p policy) {
	w.onDone = func(r *request, completed bool) {
		if b, isBaseline := p.(*baseline); isBaseline {
			b.inFlight[r.node][r.lastEngine()]--
		}
		if l, isLagoongw := p.(*lagoongwPolicy); isLagoongw {
			l.replica(r, r.lastEngine()).End()
		}
		if !completed {
			p.lost(r)
			return
		}
		w.complete(r)
		p.done(r)
	}
	w.retry = p.arrive
	w.onFirstToken = func(r *request) {
		if l, ok := p.(*lagoongwPolicy); ok {
			l.queues[r.node].MarkProducing(r.id)
		}
	}
}

// scheduleFaults schedules the scenario's faults, except for the burst, which scheduleArrivals adds. A slow engine runs
// at a fifth of its speed.
func scheduleFaults(w *world, s scenario) {
	if s.slow {
		w.at(faultStart, func() { w.engines[0].speed = 0.2 })
		w.at(faultEnd, func() { w.engines[0].speed = 1 })
	}
	if s.crash {
		w.at(faultStart, func() { w.crash(w.engines[0]) })
		w.at(faultEnd, func() { w.engines[0].down = false })
	}
	if s.partition {
		w.at(faultStart, func() { w.partitioned = true })
		w.at(faultEnd, func() { w.partitioned = false })
	}
}

// scheduleArrivals draws Poisson arrivals for every class. The capacity is the request rate at which all slots are in
// use at their loaded speed; a burst multiplies the rate of advice requests by 5.
func scheduleArrivals(w *world, p policy, load float64, s scenario, random *rand.Rand) {
	meanServiceTime := 0.0
	for _, c := range classes {
		meanServiceTime += c.share * c.meanTokens * tokenTime.Seconds() * 1.0
	}
	capacity := float64(s.engines*slotsPerEngine) / (meanServiceTime * (1 + slowdownAtFullLoad))
	id := uint64(0)
	for i := range classes {
		c := &classes[i]
		rate := capacity * load * c.share
		for t := time.Duration(0); t < warmUpTime+measurementTime; {
			currentRate := rate
			if s.burst && c.name == "advice" && t > faultStart && t < faultEnd {
				currentRate *= 5
			}
			t += time.Duration(random.ExpFloat64() / currentRate * float64(time.Second))
			id++
			w.scheduleRequest(p, &request{
				id:            id,
				class:         c,
				arrived:       t,
				node:          random.IntN(nodeCount),
				remainingWork: drawOutputTime(random, c.meanTokens),
			})
		}
	}
}

// scheduleRequest schedules the arrival of a request, and its cancellation at the deadline unless it has produced a
// first token by then.
func (w *world) scheduleRequest(p policy, r *request) {
	r.totalWork = r.remainingWork
	r.priority = r.class.tier
	w.at(r.arrived, func() {
		if w.isMeasured(r) {
			w.result.classes[r.class.name].sent++
		}
		p.arrive(r)
	})
	w.at(r.arrived+r.class.deadline, func() {
		if r.ended || r.firstTokenAt > 0 {
			return
		}
		p.cancel(r)
		w.drop(r)
	})
}

// isMeasured reports whether a request arrived after the warm-up.
func (w *world) isMeasured(r *request) bool { return r.arrived >= warmUpTime }

// end marks a request as ended and returns the result of its class; counted is false if the request had ended before or
// is not measured.
func (w *world) end(r *request) (c *classResult, counted bool) {
	if r.ended {
		return nil, false
	}
	r.ended = true
	return w.result.classes[r.class.name], w.isMeasured(r)
}

func (w *world) complete(r *request) {
	c, counted := w.end(r)
	if !counted {
		return
	}
	c.completed++
	if w.now <= warmUpTime+measurementTime {
		w.result.usefulTokens += tokensOf(r.totalWork)
	}
	wait := r.firstTokenAt - r.arrived
	c.longestWait = max(c.longestWait, wait)
	if wait <= r.class.targetWait {
		c.attained++
	}
}

func (w *world) refuse(r *request) {
	if c, counted := w.end(r); counted {
		c.refused++
	}
}

func (w *world) drop(r *request) {
	if c, counted := w.end(r); counted {
		c.dropped++
		w.result.wastedTokens += tokensOf(r.totalWork - r.remainingWork)
	}
}

// retryOrDrop sends a baseline's lost request again, from its beginning, up to maxRetries times.
func (w *world) retryOrDrop(r *request) {
	const maxRetries = 2
	if r.ended {
		return
	}
	if r.retries >= maxRetries {
		w.drop(r)
		return
	}
	r.retries++
	if w.isMeasured(r) {
		w.result.wastedTokens += tokensOf(r.totalWork - r.remainingWork)
	}
	r.remainingWork = r.totalWork
	w.retry(r)
}
