package dispatch

import (
	"math"
	"time"

	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/replica"
)

// The model of an engine, from the users' published figures: between the steps of the running requests it reads waiting
// prompts in chunks.
const (
	// firstToken is the time from the start of a prompt's reading to its first token beyond the reading itself.
	firstToken = 120 * time.Millisecond
	// readPerMillisecond is the prompt tokens read in a millisecond when nothing else runs.
	readPerMillisecond = 62.4
	// chunkTokens is how much of a prompt is read between two steps.
	chunkTokens = 1024
	// stepBase and stepEach are the time of one step, alone and for each running request.
	stepBase = 6550 * time.Microsecond
	stepEach = 165 * time.Microsecond
	// startTokens is what the start of a prompt's reading costs the prompts behind it, in tokens: a quarter of firstToken,
	// since the rest of that time overlaps with other work.
	startTokens = 2000
	// pendingLife bounds how long a prompt counts as waiting when nothing was heard of it.
	pendingLife = 20 * time.Second
	// defaultLatency is assumed of a plain service before its first answer.
	defaultLatency = 20 * time.Millisecond
	// latencyWeight is the weight of the newest answer in the smoothed latency.
	latencyWeight = 0.2
	// lastTier is behind every tier of a request.
	lastTier = math.MaxInt
)

// forecast predicts one upstream's times.
type forecast struct {
	pending map[*Assignment]struct{}
	running int
	flight  int
	latency time.Duration
}

// TimeToFirstToken predicts the time to the first token when so many prompt tokens have to be read first.
func TimeToFirstToken(tokens, running int) time.Duration {
	chunks := float64(tokens) / chunkTokens
	step := stepBase + time.Duration(running)*stepEach
	read := time.Duration(float64(tokens) / readPerMillisecond * float64(time.Millisecond))
	return firstToken + read + time.Duration(chunks*float64(step))
}

// crowding is what a nearly full engine costs: its steps slow down and requests wait for a slot.
func crowding(running, slots int) time.Duration {
	const full = 400 * time.Millisecond
	share := float64(running) / float64(max(slots, 1))
	if share <= 0.5 {
		return time.Duration(share * float64(40*time.Millisecond))
	}
	return time.Duration((share - 0.45) * float64(full) * 2)
}

// wait counts a prompt among those that are still to be read.
func (f *forecast) wait(place *Assignment) {
	if f.pending == nil {
		f.pending = map[*Assignment]struct{}{}
	}
	f.pending[place] = struct{}{}
}

// backlog returns the tokens of this node's prompts that the engine reads before one of the tier.
func (f *forecast) backlog(tier int, now time.Time) int {
	if len(f.pending) == 0 {
		return 0
	}
	total := 0
	for place := range f.pending {
		if place.tier <= tier && now.Sub(place.sent) < pendingLife {
			total += place.uncached
		}
	}
	return total
}

// plain predicts the time of a plain service's answer.
func (f *forecast) plain(r *replica.Replica) time.Duration {
	latency := f.latency
	if latency == 0 {
		latency = defaultLatency
	}
	return latency + time.Duration(float64(latency)*float64(f.flight)/float64(max(r.Slots(), 1)))
}

// observe takes in the time of a plain answer.
func (f *forecast) observe(took time.Duration) {
	if f.latency == 0 {
		f.latency = took
		return
	}
	f.latency += time.Duration(latencyWeight * float64(took-f.latency))
}

// Assignment is one request at an upstream, from its send to its end.
type Assignment struct {
	dispatcher *Dispatcher
	replica    *replica.Replica
	tier       int
	uncached   int
	predicted  time.Duration
	sent       time.Time
	first      bool
	ended      bool
}

// Begin counts a request in at an upstream.
func (d *Dispatcher) Begin(r *replica.Replica, p prompt.Prompt, choice Choice, tier int, now time.Time) *Assignment {
	place := &Assignment{
		dispatcher: d,
		replica:    r,
		tier:       tier,
		uncached:   choice.Uncached + startTokens,
		predicted:  choice.Predicted,
		sent:       now,
	}
	r.Begin()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.state(r)
	known.forecast.flight++
	known.health.sent(now)
	if len(p) == 0 {
		return place
	}
	known.forecast.wait(place)
	d.parts.add(known, p, now)
	d.split(r.Pool()).note(choice.Interactive, workOf(choice.Interactive, choice.Uncached), now)
	return place
}

// FirstEvent notes that the engine has read the prompt; further calls change nothing.
func (p *Assignment) FirstEvent(now time.Time) {
	if p.first {
		return
	}
	p.first = true
	p.dispatcher.mu.Lock()
	defer p.dispatcher.mu.Unlock()
	known := p.dispatcher.state(p.replica)
	delete(known.forecast.pending, p)
	known.forecast.running++
	known.health.observe(now.Sub(p.sent), p.predicted, now)
}

// End counts the request out.
func (p *Assignment) End(time.Time) {
	if p.ended {
		return
	}
	p.ended = true
	p.replica.End()
	p.dispatcher.mu.Lock()
	defer p.dispatcher.mu.Unlock()
	f := &p.dispatcher.state(p.replica).forecast
	f.flight--
	delete(f.pending, p)
	if p.first {
		f.running--
	}
}
