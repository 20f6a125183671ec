package policy

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lagoongw/internal/model/clock"
)

// class is a class of requests: its part of the load and its targets.
type class struct {
	name string
	// tier is the class's tier, 0 for the highest.
	tier int
	// share is the fraction of all requests.
	share float64
	// targetWait is the target for the time to the first token.
	targetWait time.Duration
	// deadline is the time after which a caller without a first token gives up.
	deadline time.Duration
	// meanTokens is the mean output length.
	meanTokens float64
}

// Simulated engine. An engine with all slots in use runs each request slower by the factor 1 + slowdownAtFullLoad.
const (
	tokenTime          = 20 * time.Millisecond
	prefillTime        = 100 * time.Millisecond
	slotsPerEngine     = 8
	slowdownAtFullLoad = 0.5
)

// classes are in order from the highest tier to the lowest; their shares add up to 1.
var classes = []class{
	{
		name:       "changeover",
		tier:       0,
		share:      0.10,
		targetWait: 760 * time.Millisecond,
		deadline:   20 * time.Second,
		meanTokens: 60,
	},
	{
		name:       "planning",
		tier:       1,
		share:      0.20,
		targetWait: 1500 * time.Millisecond,
		deadline:   30 * time.Second,
		meanTokens: 120,
	},
	{
		name:       "quote",
		tier:       3,
		share:      0.30,
		targetWait: 5 * time.Second,
		deadline:   60 * time.Second,
		meanTokens: 150,
	},
	{
		name:       "advice",
		tier:       6,
		share:      0.40,
		targetWait: 10 * time.Second,
		deadline:   90 * time.Second,
		meanTokens: 100,
	},
}

// request is a request on its way through the fleet. Times are since the start of the simulation; work is generation
// time on an idle engine.
type request struct {
	id            uint64
	class         *class
	arrived       time.Duration
	node          int
	remainingWork time.Duration
	totalWork     time.Duration
	engine        *engine
	running       bool
	started       time.Duration
	speed         float64
	// generation is incremented at each start and stop, which invalidates the events scheduled before.
	generation int
	// firstTokenAt is when the first token was produced, zero before.
	firstTokenAt time.Duration
	ended        bool
	retries      int
	// excluded lists the engines that could not be reached.
	excluded []string
	// lastEngineName is the engine that the request was last sent to.
	lastEngineName string
	// preferredEngine is the engine where a request was preempted for this one, empty for none.
	preferredEngine string
	// priority is the tier at which engines queue the request.
	priority int
}

func (r *request) lastEngine() string { return r.lastEngineName }

// remaining returns the work that remains at a time.
func (r *request) remaining(now time.Duration) time.Duration {
	if !r.running {
		return r.remainingWork
	}
	return max(r.remainingWork-time.Duration(float64(now-r.started)*r.speed), 0)
}

// engine is a simulated replica with a fixed number of slots, a service time that grows with its load, and a queue in
// order of priority or, if fifo is set, of arrival.
type engine struct {
	name    string
	region  int
	speed   float64
	fifo    bool
	down    bool
	running map[uint64]*request
	queue   []*request
}

// world is the state of a simulation.
type world struct {
	now          time.Duration
	clock        *clock.Clock
	engines      []*engine
	random       *rand.Rand
	result       *result
	onDone       func(r *request, completed bool)
	onFirstToken func(r *request)
	retry        func(r *request)
	partitioned  bool
}

// origin is the simulated clock's time at the start of a simulation; world.now counts from it.
var origin = time.Unix(0, 0)

// at schedules an event.
func (w *world) at(when time.Duration, event func()) {
	w.clock.At(origin.Add(when), func() {
		w.now = when
		event()
	})
}

func (w *world) run(until time.Duration) { w.clock.Run(origin.Add(until)) }

// canReach reports whether a node can open a connection to an engine.
func (w *world) canReach(node int, e *engine) bool {
	return !e.down && (!w.partitioned || regionOf(node, nodeCount) == e.region)
}

// enqueue adds a request to an engine's queue and starts it if a slot is free.
func (w *world) enqueue(e *engine, r *request) {
	r.engine = e
	r.lastEngineName = e.name
	e.queue = append(e.queue, r)
	if !e.fifo {
		sort.SliceStable(e.queue, func(i, j int) bool { return e.queue[i].priority < e.queue[j].priority })
	}
	w.startQueued(e)
}

// startQueued starts queued requests while the engine has free slots.
func (w *world) startQueued(e *engine) {
	for !e.down && len(e.queue) > 0 && len(e.running) < slotsPerEngine {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running[r.id] = r
		w.start(e, r)
	}
}

// start runs a request on an engine. Its speed is fixed by the load at the start, and its events are ignored if it is
// stopped before they are due.
func (w *world) start(e *engine, r *request) {
	r.running = true
	r.started = w.now
	r.speed = e.speed / (1 + slowdownAtFullLoad*float64(len(e.running))/slotsPerEngine)
	r.generation++
	generation := r.generation
	firstTokenAt := w.now + time.Duration(float64(prefillTime)/r.speed)
	w.at(firstTokenAt, func() {
		if r.generation != generation {
			return
		}
		if r.firstTokenAt == 0 {
			r.firstTokenAt = w.now
		}
		w.onFirstToken(r)
	})
	w.at(w.now+time.Duration(float64(r.remainingWork)/r.speed), func() {
		if r.generation == generation {
			w.stop(r)
			w.onDone(r, true)
		}
	})
}

// stop removes a request from its engine and records the work that remains.
func (w *world) stop(r *request) {
	e := r.engine
	if e == nil {
		return
	}
	r.remainingWork = r.remaining(w.now)
	r.running = false
	r.generation++
	r.engine = nil
	delete(e.running, r.id)
	for i, queued := range e.queue {
		if queued == r {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			break
		}
	}
	w.startQueued(e)
}

// crash takes an engine down and ends its running and queued requests; their output is wasted unless the stream is
// resumed on another engine.
func (w *world) crash(e *engine) {
	e.down = true
	var interrupted []*request
	for _, r := range e.running {
		interrupted = append(interrupted, r)
	}
	interrupted = append(interrupted, e.queue...)
	sort.Slice(interrupted, func(i, j int) bool { return interrupted[i].id < interrupted[j].id })
	e.queue = nil
	for _, r := range interrupted {
		w.stop(r)
		w.onDone(r, false)
	}
}

// tokensOf returns the number of tokens that an idle engine generates in a time.
func tokensOf(work time.Duration) float64 { return float64(work) / float64(tokenTime) }

// drawOutputTime draws the time that an idle engine takes to generate the output. The length is log-normal: most
// outputs are short and some are long. The policies do not know it in advance. The divisor 1.28 is exp(0.7²/2), rounded;
// it makes mean the mean length.
func drawOutputTime(random *rand.Rand, mean float64) time.Duration {
	tokens := mean * math.Exp(random.NormFloat64()*0.7) / 1.28
	return time.Duration(max(tokens, 1) * float64(tokenTime))
}
