package drain

import "time"

// Phase is a step of a node's drain.
type Phase int

// The phases of a drain, in order: a node serves, then leaves but still accepts requests, then refuses those that it may not
// finish, and finally has finished.
const (
	Serving Phase = iota
	Leaving
	Refusing
	Finished
)

// String returns the phase's name in lower case.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "finished"}[p]
}

// StateMachine advances a node's drain from Serving to Finished; it is not safe for concurrent use.
type StateMachine struct {
	// RefuseAfter is the time from the start of the drain for which the node still accepts all requests: while callers use the
	// addresses of entry VMs that they have cached.
	RefuseAfter time.Duration
	// Timeout is the time from the start of the drain after which the node finishes even with requests in flight; zero
	// means none.
	Timeout time.Duration

	phase     Phase
	startedAt time.Time
}

// Phase returns the current phase.
func (m *StateMachine) Phase() Phase { return m.phase }

// Accepts reports whether the node accepts a request now whose answer is due by a deadline. From RefuseAfter on these are
// the ones that will have ended before the drain times out; without a timeout the drain would never end, and there are none.
func (m *StateMachine) Accepts(now, deadline time.Time) bool {
	switch {
	case m.phase == Serving:
		return true
	case m.phase == Finished:
		return false
	case now.Sub(m.startedAt) < m.RefuseAfter:
		return true
	}
	return m.Timeout > 0 && deadline.Before(m.startedAt.Add(m.Timeout))
}

// Begin starts the drain; further calls do nothing.
func (m *StateMachine) Begin(now time.Time) {
	if m.phase == Serving {
		m.phase = Leaving
		m.startedAt = now
	}
}

// Tick advances the phase according to the time and the number of requests in flight, and returns it.
func (m *StateMachine) Tick(now time.Time, inFlight int) Phase {
	if m.phase == Leaving && now.Sub(m.startedAt) >= m.RefuseAfter {
		m.phase = Refusing
	}
	if m.phase == Refusing && inFlight == 0 {
		m.phase = Finished
	}
	if m.phase != Serving && m.Timeout > 0 && now.Sub(m.startedAt) >= m.Timeout {
		m.phase = Finished
	}
	return m.phase
}
