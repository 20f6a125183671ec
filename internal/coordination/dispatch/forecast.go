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
	// prefillStartTokens is the delay that the start of a prefill adds for the prompts queued behind it, in tokens: a
	// quarter of firstTokenOverhead, since the rest of that time overlaps with other work.
	prefillStartTokens = 2000
	// maxPendingTime is how long a prompt counts as waiting if its first event does not arrive.
	maxPendingTime = 20 * time.Second
	// defaultLatency is the assumed latency of a plain service before its first response.
	defaultLatency = 20 * time.Millisecond
	// latencyWeight is the weight of the newest latency in the exponential moving average.
	latencyWeight = 0.2
	// lastTier has a lower priority than the tier of any request.
	lastTier = math.MaxInt
)

// forecast predicts the response times of one upstream.
type forecast struct {
	pending  map[*Assignment]struct{}
	running  int
	inFlight int
	latency  time.Duration
}

// TimeToFirstToken predicts the time to the first token at an engine that has to prefill tokens first, with running
// requests past their first event.
func TimeToFirstToken(tokens, running int) time.Duration {
	chunks := float64(tokens) / chunkTokens
	step := stepBaseTime + time.Duration(running)*stepTimePerRequest
	prefill := time.Duration(float64(tokens) / prefillTokensPerMillisecond * float64(time.Millisecond))
	return firstTokenOverhead + prefill + time.Duration(chunks*float64(step))
}

// crowdingCost returns the cost of a nearly full engine, where decode steps are slower and requests wait for a slot.
func crowdingCost(running, slots int) time.Duration {
	const fullCost = 400 * time.Millisecond
	share := float64(running) / float64(max(slots, 1))
	if share <= 0.5 {
		return time.Duration(share * float64(40*time.Millisecond))
	}
	return time.Duration((share - 0.45) * float64(fullCost) * 2)
}

// addPending adds a request to those whose prompts are waiting for prefill.
func (f *forecast) addPending(assignment *Assignment) {
	if f.pending == nil {
		f.pending = map[*Assignment]struct{}{}
	}
	f.pending[assignment] = struct{}{}
}

// backlog returns the number of tokens of this node's waiting prompts that the engine prefills before a prompt of the
// given tier.
func (f *forecast) backlog(tier int, now time.Time) int {
	if len(f.pending) == 0 {
		return 0
	}
	total := 0
	for assignment := range f.pending {
		if assignment.tier <= tier && now.Sub(assignment.sent) < maxPendingTime {
			total += assignment.uncached
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
	dispatcher     *Dispatcher
	replica        *replica.Replica
	tier           int
	uncached       int
	predicted      time.Duration
	sent           time.Time
	firstEventSeen bool
	ended          bool
}

// Begin records that a request is sent to an upstream; choice is the result of Choose.
func (d *Dispatcher) Begin(r *replica.Replica, p prompt.Prompt, choice Choice, tier int, now time.Time) *Assignment {
	assignment := &Assignment{
		dispatcher: d,
		replica:    r,
		tier:       tier,
		uncached:   choice.Uncached + prefillStartTokens,
		predicted:  choice.Predicted,
		sent:       now,
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
	upstream.forecast.addPending(assignment)
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
	delete(upstream.forecast.pending, a)
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
	delete(f.pending, a)
	if a.firstEventSeen {
		f.running--
	}
}
