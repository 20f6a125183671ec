package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoongw/internal/model/clock"
)

const (
	warmUp   = 20 * time.Second
	measured = 100 * time.Second
	eventAt  = 40 * time.Second
	eventEnd = 70 * time.Second
)

// scenario is what goes wrong during a run.
type scenario struct {
	name    string
	burst   bool
	slow    bool
	crash   bool
	lag     time.Duration
	apart   bool
	engines int
}

// counts are the users' measures for one class.
type counts struct {
	sent     int
	attained int
	done     int
	refused  int
	dropped  int
	longest  time.Duration
}

// result is what a run measured.
type result struct {
	classes    map[string]*counts
	useful     float64
	wasted     float64
	inversions int
	preempted  int
}

func newResult() *result {
	r := &result{classes: map[string]*counts{}}
	for _, c := range classes {
		r.classes[c.name] = &counts{}
	}
	return r
}

func (c *counts) attainment() float64 {
	if c.sent == 0 {
		return 1
	}
	return float64(c.attained) / float64(c.sent)
}

type build func(w *world, s scenario) policy

func roundRobin(w *world, _ scenario) policy {
	for _, e := range w.engines {
		e.fifo = true
	}
	return newChooser(w, false)
}

func leastInFlight(w *world, _ scenario) policy { return newChooser(w, true) }

func own(w *world, s scenario) policy { return newLagoon(w, s.lag) }

func newChooser(w *world, least bool) *chooser {
	c := &chooser{
		w:     w,
		least: least,
	}
	for range nodes {
		c.counts = append(c.counts, map[string]int{})
	}
	return c
}

// simulate runs one policy under one load, as a part of the capacity, and one scenario.
func simulate(b build, load float64, s scenario, seed uint64) *result {
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
	p := b(w, s)
	w.policy(p)
	strike(w, s)
	arrivals(w, p, load, s, newRandom(seed+1))
	for t := tickStep; t < warmUp+measured; t += tickStep {
		w.at(t, p.tick)
	}
	w.run(warmUp + measured + 200*time.Second)
	return w.result
}

// policy connects the engines' ends of work to a policy.
func (w *world) policy(p policy) {
	w.onDone = func(r *request, ok bool) {
		if chosen, baseline := p.(*chooser); baseline {
			chosen.counts[r.node][r.lastEngine()]--
		}
		if own, is := p.(*lagoon); is {
			own.replica(r, r.lastEngine()).End()
		}
		if !ok {
			p.lost(r)
			return
		}
		w.complete(r)
		p.done(r)
	}
	w.retry = p.arrive
	w.onFirst = func(r *request) {
		if own, is := p.(*lagoon); is {
			own.queues[r.node].MarkProducing(r.id)
		}
	}
}

func strike(w *world, s scenario) {
	if s.slow {
		w.at(eventAt, func() { w.engines[0].speed = 0.2 })
		w.at(eventEnd, func() { w.engines[0].speed = 1 })
	}
	if s.crash {
		w.at(eventAt, func() { w.crash(w.engines[0]) })
		w.at(eventEnd, func() { w.engines[0].down = false })
	}
	if s.apart {
		w.at(eventAt, func() { w.apart = true })
		w.at(eventEnd, func() { w.apart = false })
	}
}

func arrivals(w *world, p policy, load float64, s scenario, random *rand.Rand) {
	mean := 0.0
	for _, c := range classes {
		mean += c.share * c.tokens * tokenTime.Seconds() * 1.0
	}
	capacity := float64(s.engines*slots) / (mean * (1 + loadSlow))
	id := uint64(0)
	for i := range classes {
		c := &classes[i]
		rate := capacity * load * c.share
		for t := time.Duration(0); t < warmUp+measured; {
			now := rate
			if s.burst && c.name == "advice" && t > eventAt && t < eventEnd {
				now *= 5
			}
			t += time.Duration(random.ExpFloat64() / now * float64(time.Second))
			id++
			w.schedule(p, &request{
				id:      id,
				class:   c,
				arrived: t,
				node:    random.IntN(nodes),
				work:    length(random, c.tokens),
			})
		}
	}
}

func (w *world) schedule(p policy, r *request) {
	r.whole = r.work
	r.priority = r.class.tier
	w.at(r.arrived, func() {
		if w.counts(r) {
			w.result.classes[r.class.name].sent++
		}
		p.arrive(r)
	})
	w.at(r.arrived+r.class.deadline, func() {
		if r.ended || r.first > 0 {
			return
		}
		p.left(r)
		w.drop(r)
	})
}

func (w *world) counts(r *request) bool { return r.arrived >= warmUp }

func (w *world) end(r *request) (c *counts, first bool) {
	if r.ended {
		return nil, false
	}
	r.ended = true
	return w.result.classes[r.class.name], w.counts(r)
}

func (w *world) complete(r *request) {
	c, counted := w.end(r)
	if !counted {
		return
	}
	c.done++
	if w.now <= warmUp+measured {
		w.result.useful += tokensOf(r.whole)
	}
	wait := r.first - r.arrived
	c.longest = max(c.longest, wait)
	if wait <= r.class.owed {
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
		w.result.wasted += tokensOf(r.whole - r.work)
	}
}

// fail is a baseline's lost request: asked for once more elsewhere, from its beginning.
func (w *world) fail(r *request) {
	const maxRetries = 2
	if r.ended {
		return
	}
	if r.retries >= maxRetries {
		w.drop(r)
		return
	}
	r.retries++
	if w.counts(r) {
		w.result.wasted += tokensOf(r.whole - r.work)
	}
	r.work = r.whole
	w.retry(r)
}
