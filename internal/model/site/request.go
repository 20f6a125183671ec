package site

import (
	"slices"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/model/engine"
	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/replica"
)

const (
	// requestBytes and eventBytes are what a request and an event take on a link, with their headers.
	requestBytes = 2000
	eventBytes   = 200
	// comeBackAfter is what a caller is told whose request no upstream took; Retry-After counts in seconds.
	comeBackAfter = time.Second
	// ownParts begins the IDs of the parts that belong to one request, above those of all shared ones.
	ownParts = 1 << 62
)

// request is what one caller asks for, over all sends and returns.
type request struct {
	site      *Site
	id        uint64
	class     *Class
	result    *ClassResult
	node      *node
	prompt    prompt.Prompt
	output    int
	generated int
	asked     time.Time
	first     time.Time
	last      time.Time
	gap       time.Duration
	retries   int
	returned  bool
	excluded  []string
	current   *sending
	sends     attempt.StateMachine
	ended     bool
}

// sending is one send of a request to an upstream.
type sending struct {
	request  *request
	node     *node
	upstream *upstream
	chosen   *replica.Replica
	place    *dispatch.Assignment
	job      *engine.Job
	over     bool
}

// arrive has a caller of the class at that place ask.
func (s *Site) arrive(place int) {
	class := &s.spec.Classes[place]
	s.requests++
	r := &request{
		site:    s,
		id:      s.requests,
		class:   class,
		result:  s.result.Classes[place],
		node:    s.nodes[s.random.IntN(len(s.nodes))],
		asked:   s.clock.Now(),
		retries: class.Retries,
	}
	r.begin()
	if class.ServiceTime == 0 {
		r.prompt = s.prompt(place, r.id)
		r.output = s.vary(class.OutputTokens)
	}
	r.result.asked(r)
	s.clock.After(class.Deadline, r.giveUp)
	r.send()
}

// begin resets what was done for the request, as when its caller comes back.
func (r *request) begin() {
	r.excluded = nil
	r.sends = attempt.StateMachine{
		Repeatable:      true,
		MaxAttempts:     r.class.MaxAttempts,
		Deadline:        r.asked.Add(r.class.Deadline),
		TakeRetryBudget: func() bool { return true },
	}
}

// prompt draws the shared part of a request and the length of its own one.
func (s *Site) prompt(place int, id uint64) prompt.Prompt {
	class := &s.spec.Classes[place]
	part := s.random.IntN(class.SharedParts)
	at := s.clock.Now().Sub(epoch)
	for _, d := range s.spec.Disturbances {
		if d.Kind == HotPart && d.Class == class.Name && d.active(at) && s.random.Float64() < d.Factor {
			part = 0
		}
	}
	return prompt.Prompt{
		{
			ID:     uint64(place+1)<<32 + uint64(part),
			Tokens: class.SharedTokens,
		},
		{
			ID:     ownParts + id,
			Tokens: s.vary(class.OwnTokens),
		},
	}
}

// noteRead counts the shared parts that are read though some engine had read them before.
func (s *Site) noteRead(part prompt.Part, shared bool) {
	s.result.PrefilledTokens += part.Tokens
	if shared && s.read[part.ID] {
		s.result.RepeatedPrefillTokens += part.Tokens
	}
	s.read[part.ID] = true
}

func (r *request) pool() string {
	if r.class.ServiceTime > 0 {
		return servicePool
	}
	return enginePool
}

// send asks the policy where the request goes, and sends it there.
func (r *request) send() {
	if r.ended {
		return
	}
	s := r.site
	decision := s.policy.decide(s, r)
	if decision.choice.Replica == nil {
		r.refuse(decision.retryAfter)
		return
	}
	a := &sending{
		request:  r,
		node:     r.node,
		upstream: s.byName[decision.choice.Replica.Name()],
		chosen:   decision.choice.Replica,
		place:    r.node.dispatcher.Begin(decision.choice.Replica, r.prompt, decision.choice, r.class.Tier, s.clock.Now()),
	}
	r.current = a
	s.clock.After(s.transfer(r.node.region, a.upstream.region, requestBytes), a.arrive)
}

// refuse answers that the request did not run; its caller comes back when told, as often as it may.
func (r *request) refuse(retryAfter time.Duration) {
	r.result.Refused++
	if retryAfter <= 0 || r.retries == 0 {
		r.ended = true
		return
	}
	r.result.Retried++
	r.retries--
	r.returned = true
	r.begin()
	r.site.clock.After(retryAfter, r.send)
}

// giveUp is the caller's deadline.
func (r *request) giveUp() {
	if r.ended {
		return
	}
	r.ended = true
	if a := r.current; a != nil {
		a.cancel()
	}
}

func (a *sending) cancel() {
	if a.over {
		return
	}
	a.finish()
	if a.job == nil {
		return
	}
	s := a.request.site
	s.result.WastedPrefillTokens += a.job.PrefilledTokens()
	s.clock.After(s.delay(a.node.region, a.upstream.region), func() {
		if _, held := a.upstream.jobs[a.job]; held {
			delete(a.upstream.jobs, a.job)
			a.upstream.engine.Cancel(a.job)
		}
	})
}

func (a *sending) finish() {
	a.over = true
	a.place.End(a.request.site.clock.Now())
}

// arrive is the send's arrival at its upstream.
func (a *sending) arrive() {
	if a.over {
		return
	}
	s, u := a.request.site, a.upstream
	switch {
	case u.shedding:
		a.failAfter(attempt.NotRun)
	case u.down:
		a.failAfter(attempt.Unsent)
	case u.engine == nil:
		u.serve(s, a)
	default:
		a.submit()
	}
}

func (a *sending) submit() {
	s, u := a.request.site, a.upstream
	a.job = &engine.Job{
		Prompt:          a.request.prompt,
		OutputTokens:    a.request.output,
		GeneratedTokens: a.request.generated,
		Priority:        a.request.class.Tier,
	}
	if s.policy.IgnoreTiers {
		a.job.Priority = 0
	}
	u.jobs[a.job] = a
	if !u.engine.Submit(a.job, s.clock.Now()) {
		delete(u.jobs, a.job)
		a.failAfter(attempt.Lost)
		return
	}
	s.wake(u)
}

// wake schedules the next moment at which an engine has done something.
func (s *Site) wake(u *upstream) {
	next, working := u.engine.NextEvent()
	if !working {
		return
	}
	u.wake++
	turn := u.wake
	s.clock.At(next, func() {
		if turn != u.wake {
			return
		}
		for _, progress := range u.engine.Advance(s.clock.Now()) {
			if a := u.jobs[progress.Job]; a != nil {
				a.progress(progress)
			}
		}
		s.wake(u)
	})
}

// sendings returns what is at an engine, in the order of the requests.
func (u *upstream) sendings() []*sending {
	var all []*sending
	for _, a := range u.jobs {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *sending) int { return int(a.request.id) - int(b.request.id) })
	return all
}

// progress passes a token on, once an event is full.
func (a *sending) progress(p engine.Progress) {
	r := a.request
	begins := r.first.IsZero()
	if p.Ended {
		delete(a.upstream.jobs, p.Job)
	}
	if !begins && !p.Ended && p.Job.GeneratedTokens%r.class.EventTokens != 0 {
		return
	}
	arrival := r.site.transfer(a.upstream.region, a.node.region, eventBytes)
	r.generated = p.Job.GeneratedTokens
	r.event(r.site.clock.Now().Add(arrival))
	if begins {
		r.site.clock.After(arrival, func() { a.place.FirstEvent(r.site.clock.Now()) })
	}
	if p.Ended {
		r.site.clock.After(arrival, a.complete)
	}
}

func (r *request) event(at time.Time) {
	if r.first.IsZero() {
		r.first = at
		r.sends.MarkStreaming()
	} else {
		r.gap = max(r.gap, at.Sub(r.last))
	}
	r.last = at
}

func (a *sending) complete() {
	r := a.request
	if a.over || r.ended {
		return
	}
	a.finish()
	now := r.site.clock.Now()
	took := time.Duration(0)
	if r.class.ServiceTime > 0 {
		took = now.Sub(r.asked)
	}
	a.node.dispatcher.Succeeded(a.chosen, took, now)
	r.ended = true
	r.result.served(r)
}

// failAfter has the node learn, once word of it can be there, that the send brought no answer.
func (a *sending) failAfter(result attempt.Result) {
	s := a.request.site
	s.clock.After(s.delay(a.upstream.region, a.node.region), func() { a.fail(result) })
}

// fail does what the product does after a send that brought no answer.
func (a *sending) fail(result attempt.Result) {
	if a.over {
		return
	}
	a.finish()
	r := a.request
	now := r.site.clock.Now()
	switch result {
	case attempt.Unsent:
		a.node.dispatcher.Unreachable(a.chosen, now)
	case attempt.NotRun:
		a.node.dispatcher.Refused(a.chosen, now)
	default:
		a.node.dispatcher.Failed(a.chosen, now)
	}
	switch r.sends.Next(result, now) {
	case attempt.Again:
		r.excluded = append(r.excluded, a.upstream.name)
		r.send()
	case attempt.Refuse:
		r.refuse(comeBackAfter)
	default:
		r.ended = true
	}
}
