package drain

import "time"

// Phase is how far a node has left service.
type Phase int

// The phases, in their order.
const (
	Serving Phase = iota
	Leaving
	Refusing
	Finished
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "finished"}[p]
}

// StateMachine takes a node from serving to finished; it is not safe for concurrent use.
type StateMachine struct {
	// RefuseAfter is how long a leaving node goes on serving new requests, longer than entry answers are kept.
	RefuseAfter time.Duration
	// Timeout, when set, is the time from the start of the drain after which the node ends with requests still in flight.
	Timeout time.Duration

	phase Phase
	since time.Time
}

// Phase returns the current phase.
func (m *StateMachine) Phase() Phase { return m.phase }

// Begin starts the drain; a second call changes nothing.
func (m *StateMachine) Begin(now time.Time) {
	if m.phase == Serving {
		m.phase = Leaving
		m.since = now
	}
}

// Tick advances the phase by time and by the number of requests in flight.
func (m *StateMachine) Tick(now time.Time, inFlight int) Phase {
	if m.phase == Leaving && now.Sub(m.since) >= m.RefuseAfter {
		m.phase = Refusing
	}
	if m.phase == Refusing && inFlight == 0 {
		m.phase = Finished
	}
	if m.phase != Serving && m.Timeout > 0 && now.Sub(m.since) >= m.Timeout {
		m.phase = Finished
	}
	return m.phase
}
