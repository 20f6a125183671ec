package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// TestLeavingNodeAcceptsWhatItCanFinish guards against requests that are accepted late in a drain and broken off at its end.
func TestLeavingNodeAcceptsWhatItCanFinish(t *testing.T) {
	const refuseAfter, timeout = 2500 * time.Millisecond, 7520 * time.Millisecond
	for name, c := range map[string]struct {
		at, due  time.Duration
		timeout  time.Duration
		accepted bool
	}{
		"long, at once":                  {at: 0, due: 15 * time.Second, timeout: timeout, accepted: true},
		"long, while addresses are kept": {at: refuseAfter - 1, due: 17 * time.Second, timeout: timeout, accepted: true},
		"long, after that":               {at: refuseAfter, due: 17 * time.Second, timeout: timeout},
		"short, after that":              {at: 3 * time.Second, due: 6 * time.Second, timeout: timeout, accepted: true},
		"due at the end":                 {at: 5 * time.Second, due: timeout, timeout: timeout},
		"no end":                         {at: 3 * time.Second, due: 3 * time.Second},
		"no end, at once":                {at: 0, due: time.Hour, accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := StateMachine{
				RefuseAfter: refuseAfter,
				Timeout:     c.timeout,
			}
			is.True(m.Accepts(start.Add(c.at), start.Add(c.due)))
			m.Begin(start)
			is.Equal(m.Accepts(start.Add(c.at), start.Add(c.due)), c.accepted)
		})
	}
}

// TestFinishedNodeAcceptsNothing guards against a request that is accepted while the process ends.
func TestFinishedNodeAcceptsNothing(t *testing.T) {
	is := is.New(t)
	m := StateMachine{
		RefuseAfter: time.Second,
		Timeout:     time.Minute,
	}
	m.Begin(start)
	is.Equal(m.Tick(start.Add(time.Second), 1), Refusing)
	is.True(m.Accepts(start.Add(time.Second), start.Add(2*time.Second)))
	is.Equal(m.Tick(start.Add(time.Second), 0), Finished)
	is.True(!m.Accepts(start.Add(time.Second), start.Add(2*time.Second)))
}
