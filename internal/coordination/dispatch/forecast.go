package dispatch

import (
	"math"
	"time"

	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/state/replica"
)

const (
	// maxWaitingTime is how long a prompt counts as waiting if its first event does not arrive.
	maxWaitingTime = 20 * time.Second
	// defaultLatency is the assumed latency of a plain service, an upstream that is not an engine, before its first
	// response.
	defaultLatency = 20 * time.Millisecond
	// latencyWeight is the weight of the newest latency in the exponential moving average.
	latencyWeight = 0.2
	// lastTier has a lower priority than the tier of any request; the backlog for it includes all prompts.
	lastTier = math.MaxInt
)

// forecast predicts the response times of one upstream.
type forecast struct {
	// waiting holds the requests whose prompts wait for prefill, running is the number of requests past their first
	// event, and inFlight is the number of all requests, including those of plain services. tokens is the number of their
	// prompt tokens.
	waiting  map[*Assignment]struct{}
	running  int
	inFlight int
	tokens   int
	// waitingUntil is when the last prompt stopped waiting.
	waitingUntil time.Time
	// latency is the average response time of a plain service, zero before the first response.
	latency time.Duration
}

// crowdingCost returns the cost of the other requests that run at an engine, which slow down its decode steps. The cost
// rises steeply above half of the slots, since requests wait for a slot at a nearly full engine.
func crowdingCost(running, slots int) time.Duration {
	const fullCost = 400 * time.Millisecond
	share := float64(running) / float64(max(slots, 1))
	if share <= 0.5 {
		return time.Duration(share * float64(40*time.Millisecond))
	}
	return time.Duration((share - 0.45) * float64(fullCost) * 2)
}

// addWaiting adds a request to those whose prompts are waiting for prefill.
func (f *forecast) addWaiting(assignment *Assignment) {
	if f.waiting == nil {
		f.waiting = map[*Assignment]struct{}{}
	}
	f.waiting[assignment] = struct{}{}
}

// backlog returns the number of tokens of this node's waiting prompts that the engine prefills before a prompt of the
// given tier.
func (f *forecast) backlog(tier int, now time.Time) int {
	if len(f.waiting) == 0 {
		return 0
	}
	total := 0
	for assignment := range f.waiting {
		if assignment.tier <= tier && now.Sub(assignment.sent) < maxWaitingTime {
			total += assignment.prefillTokens
		}
	}
	return total
}

// predictPlain predicts the response time of a plain service.
func (f *forecast) predictPlain(r *replica.Replica) time.Duration {
	latency := f.latency
	if latency == 0 {
		latency = defaultLatency
	}
	return latency + time.Duration(float64(latency)*float64(f.inFlight)/float64(max(r.Slots(), 1)))
}

// observeLatency adds the response time of a plain service to the moving average.
func (f *forecast) observeLatency(took time.Duration) {
	if f.latency == 0 {
		f.latency = took
		return
	}
	f.latency += time.Duration(latencyWeight * float64(took-f.latency))
}

// Assignment is one request in flight at an upstream. It is not safe for concurrent use.
type Assignment struct {
	dispatcher *Dispatcher
	replica    *replica.Replica
	tier       int
	// gap is the target for the longest pause between events, zero for no target.
	gap time.Duration
	// uncached is Choice.Uncached; prefillTokens adds the delay of the start of the prefill.
	uncached      int
	prefillTokens int
	promptTokens  int
	predicted     time.Duration
	sent          time.Time
	// measurable reports that no other prompt was known to wait at the upstream when the request was sent, and that it
	// was known what the upstream has cached.
	measurable  bool
	events      int
	lastEventAt time.Time
	ended       bool
	// request is what may crash the upstream, answeringAt when it began to answer, and passed whether the answer has gone
	// on for longer than one that crashes its upstream. suspect reports that the request was suspected when it was sent.
	request     quarantine.Request
	suspect     bool
	answeringAt time.Time
	passed      bool
}

// Begin records that a request is sent to an upstream; choice is the result of Choose for it.
func (d *Dispatcher) Begin(r *replica.Replica, request Request, choice Choice, now time.Time) *Assignment {
	assignment := &Assignment{
		dispatcher: d,
		replica:    r,
		tier:       request.Tier,
		gap:        request.Gap,
		uncached:   choice.Uncached,
		predicted:  choice.Predicted,
		sent:       now,
		request:    request.causes(),
	}
	r.Begin()
	d.mu.Lock()
	defer d.mu.Unlock()
	upstream := d.state(r)
	p := request.Prompt
	upstream.forecast.inFlight++
	if d.CountRequests {
		d.offeredTo(r.Pool(), now).sent++
	}
	upstream.health.recordSend(now)
	if assignment.suspect = d.quarantine.Suspected(assignment.request); assignment.suspect {
		upstream.suspects++
	}
	if len(p) == 0 {
		return assignment
	}
	known := d.pace(r.Pool())
	assignment.promptTokens = p.Tokens()
	upstream.forecast.tokens += assignment.promptTokens
	assignment.prefillTokens = choice.Uncached + known.profile.QueueDelayTokens()
	assignment.measurable = !choice.assumed && len(upstream.forecast.waiting) == 0 && upstream.peerLoad.Waiting == 0
	upstream.forecast.addWaiting(assignment)
	d.parts.add(upstream, p, now)
	settings, _ := d.Pool(r.Pool())
	kind, prefill := known.kindOf(request, settings.Engine), known.profile.Prefill(assignment.prefillTokens)
	known.recordPrefill(kind, prefill)
	d.split(r.Pool()).record(kind, prefill, now)
	return assignment
}

// Events records that further events of the response arrived at the same time. The first call shows that the prompt was
// prefilled.
func (a *Assignment) Events(count int, now time.Time) {
	if count <= 0 || a.ended {
		return
	}
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	upstream := a.dispatcher.state(a.replica)
	if a.events == 0 {
		a.firstEvent(upstream, now)
	} else {
		a.dispatcher.observePause(upstream, now.Sub(a.lastEventAt), now)
	}
	a.events += count
	a.lastEventAt = now
	a.checkPassed(now)
}

func (a *Assignment) firstEvent(upstream *upstreamState, now time.Time) {
	f := &upstream.forecast
	if _, waiting := f.waiting[a]; waiting {
		delete(f.waiting, a)
		f.waitingUntil = now
	}
	f.running++
	upstream.health.recordFirstEvent(now.Sub(a.sent), a.predicted, now)
	if a.measurable && upstream.distance < otherRegionCost && len(f.waiting) == 0 {
		a.dispatcher.pace(a.replica.Pool()).estimator.ObserveFirstEvent(now.Sub(a.sent), a.uncached)
	}
}

// End records that the request has ended. Only the first call has an effect.
func (a *Assignment) End(now time.Time) {
	if a.ended {
		return
	}
	a.ended = true
	a.replica.End()
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	upstream := a.dispatcher.state(a.replica)
	if a.suspect {
		upstream.suspects--
	}
	f := &upstream.forecast
	f.inFlight--
	f.tokens -= a.promptTokens
	if _, waiting := f.waiting[a]; waiting {
		delete(f.waiting, a)
		f.waitingUntil = now
	}
	if a.events > 0 {
		f.running--
		a.dispatcher.pace(a.replica.Pool()).recordLength(a.gap, a.events)
	}
}
