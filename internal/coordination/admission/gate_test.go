package admission

import (
	"testing"

	"github.com/matryer/is"
)

// TestPreemptorKeepsItsTierWithoutVictim guards against serving a request at the highest tier because the one that it
// preempted has been released.
func TestPreemptorKeepsItsTierWithoutVictim(t *testing.T) {
	is := is.New(t)
	gate := NewGate("engines", NewQueue())
	permit := &Permit{
		gate:      gate,
		id:        1,
		decision:  make(chan Refusal, 1),
		preempted: make(chan struct{}),
	}
	gate.permits[permit.id] = permit
	gate.applyPreemption(Preemption{
		Victim:    2,
		Preemptor: permit.id,
		Tier:      3,
	})
	is.Equal(permit.Tier(), 3)
}
