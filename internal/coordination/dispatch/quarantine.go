package dispatch

import (
	"time"

	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/state/replica"
)

const (
	// crashWindow is how soon after the beginning of an answer an upstream crashes that can't run the prompt.
	crashWindow = 400 * time.Millisecond
	// maxCrashEvents is the largest number of events that such an answer has.
	maxCrashEvents = 8
)

// Answering records that the upstream has begun to answer.
func (a *Assignment) Answering(now time.Time) { a.answeringAt = now }

// Completed records that the answer has arrived whole; request is what is known of the request now.
func (a *Assignment) Completed(request Request, now time.Time) {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	a.request = request.causes()
	a.pass(now)
}

// checkPassed records that the answer has gone on for longer than one that crashes its upstream; the lock must be held.
func (a *Assignment) checkPassed(now time.Time) {
	if a.events > maxCrashEvents && now.Sub(a.answeringAt) >= crashWindow {
		a.pass(now)
	}
}

// pass records that the upstream can run the request; the lock must be held.
func (a *Assignment) pass(now time.Time) {
	if a.passed || a.answeringAt.IsZero() {
		return
	}
	a.passed = true
	a.dispatcher.quarantine.Passed(a.request, now)
}

// MayHaveCrashed reports whether the upstream, if it has crashed now, may have done so because of this request, which it has
// not answered yet or has just begun to answer.
func (a *Assignment) MayHaveCrashed(now time.Time) bool {
	return !a.passed && (a.answeringAt.IsZero() || now.Sub(a.answeringAt) < crashWindow && a.events <= maxCrashEvents)
}

// Suspect returns what may have crashed the upstream, which crashes as it begins to answer a prompt with a bad part.
func (a *Assignment) Suspect(request Request) Request {
	if a.answeringAt.IsZero() {
		request.Prompt = nil
	}
	return request
}

// RanWell reports whether the answer has gone on for longer than one that crashes its upstream.
func (a *Assignment) RanWell() bool { return a.passed }

// causes returns what may be a cause in the request.
func (r Request) causes() quarantine.Request {
	return quarantine.Request{
		Pool:   r.Pool,
		Prompt: r.Prompt,
		Digest: r.Digest,
	}
}

// KnowsRepeats reports whether there is evidence about requests that come again, so that Request.Digest matters.
func (d *Dispatcher) KnowsRepeats() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quarantine.KnowsRepeats()
}

// RanWell records that an upstream can run a request.
func (d *Dispatcher) RanWell(request Request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantine.Passed(request.causes(), now)
}

// Crashed records that an upstream crashed at a time and listens no more; suspects are the requests that may have crashed
// it.
func (d *Dispatcher) Crashed(r *replica.Replica, suspects []Request, at, now time.Time) {
	causes := make([]quarantine.Request, len(suspects))
	for i, suspect := range suspects {
		causes[i] = suspect.causes()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(r).health.recordUnreachable(false, now)
	d.quarantine.Crashed(r.Name(), at, causes...)
}

// Quarantined returns why a request may not be sent now, nil if it may.
func (d *Dispatcher) Quarantined(request Request, now time.Time) *quarantine.Quarantine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quarantine.Check(request.causes(), d.rank, now)
}

// Suspected reports whether a cause in the request is suspected of a crash and is not known to have ever gone well.
func (d *Dispatcher) Suspected(request Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quarantine.Suspected(request.causes())
}

// Admit is Quarantined for a request that is sent if it may; probe reports that its answer decides whether a cause is still
// quarantined, so that it may be sent to further upstreams until it reaches one.
func (d *Dispatcher) Admit(request Request, now time.Time) (refused *quarantine.Quarantine, probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if refused = d.quarantine.Check(request.causes(), d.rank, now); refused != nil {
		return refused, false
	}
	return nil, d.quarantine.Sent(request.causes(), now)
}

// ProbeEnded records that a request that Admit called a probe runs no more.
func (d *Dispatcher) ProbeEnded(request Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantine.ProbeEnded(request.causes())
}

// rank returns this node's rank for a key among the live nodes, 0 if it knows of no others.
func (d *Dispatcher) rank(key string) int {
	if d.Rank == nil {
		return 0
	}
	return d.Rank(key)
}
