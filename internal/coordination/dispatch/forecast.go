package dispatch

import (
	"math"
	"time"

	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/replica"
)

// Model of an engine, based on the figures that the users published: between the decode steps of the running requests
// it prefills waiting prompts in chunks.
const (
	// firstTokenOverhead is the time from the start of a prefill to the first token, not counting the prefill itself.
	firstTokenOverhead = 120 * time.Millisecond
	// prefillTokensPerMillisecond is the prefill speed of an engine on which nothing else runs.
	prefillTokensPerMillisecond = 62.4
	// chunkTokens is the number of prompt tokens that are prefilled between two decode steps.
	chunkTokens = 1024
	// stepBaseTime is the time of a decode step without running requests, and stepTimePerRequest is added for each of
	// them.
	stepBaseTime       = 6550 * time.Microsecond
	stepTimePerRequest = 165 * time.Microsecond
	// prefillStartTokens is the delay that the start of a prefill adds for the prompts queued behind it, as the number
	// of tokens that are prefilled in that time. The delay is about a quarter of firstTokenOverhead, since the rest of
	// that time overlaps with other work.
	prefillStartTokens = 2000
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
	// event, and inFlight is the number of all requests, including those of plain services.
	waiting  map[*Assignment]struct{}
	running  int
	inFlight int
	// latency is the average response time of a plain service, zero before the first response.
	latency time.Duration
}

// TimeToFirstToken predicts the time to the first token at an engine that has to prefill tokens first, with running
// requests past their first event.
func TimeToFirstToken(tokens, running int) time.Duration {
	chunks := float64(tokens) / chunkTokens
	step := stepBaseTime + time.Duration(running)*stepTimePerRequest
	prefill := time.Duration(float64(tokens) / prefillTokensPerMillisecond * float64(time.Millisecond))
	return firstTokenOverhead + prefill + time.Duration(chunks*float64(step))
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
	// prefillTokens is Choice.Uncached plus prefillStartTokens.
	prefillTokens  int
	predicted      time.Duration
	sent           time.Time
	firstEventSeen bool
	ended          bool
}

// Begin records that a request is sent to an upstream; choice is the result of Choose.
func (d *Dispatcher) Begin(r *replica.Replica, p prompt.Prompt, choice Choice, tier int, now time.Time) *Assignment {
	assignment := &Assignment{
		dispatcher:    d,
		replica:       r,
		tier:          tier,
		prefillTokens: choice.Uncached + prefillStartTokens,
		predicted:     choice.Predicted,
		sent:          now,
	}
	r.Begin()
	d.mu.Lock()
	defer d.mu.Unlock()
	upstream := d.state(r)
	upstream.forecast.inFlight++
	upstream.health.recordSend(now)
	if len(p) == 0 {
		return assignment
	}
	upstream.forecast.addWaiting(assignment)
	d.parts.add(upstream, p, now)
	d.split(r.Pool()).record(choice.Interactive, engineSeconds(choice.Interactive, choice.Uncached), now)
	return assignment
}

// FirstEvent records that the prompt was prefilled. Only the first call has an effect.
func (a *Assignment) FirstEvent(now time.Time) {
	if a.firstEventSeen {
		return
	}
	a.firstEventSeen = true
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	upstream := a.dispatcher.state(a.replica)
	delete(upstream.forecast.waiting, a)
	upstream.forecast.running++
	upstream.health.recordFirstEvent(now.Sub(a.sent), a.predicted, now)
}

// End records that the request has ended. Only the first call has an effect.
func (a *Assignment) End(time.Time) {
	if a.ended {
		return
	}
	a.ended = true
	a.replica.End()
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	f := &a.dispatcher.state(a.replica).forecast
	f.inFlight--
	delete(f.waiting, a)
	if a.firstEventSeen {
		f.running--
	}
}
