package entryvm

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/protocol/wire"
)

// TestStabilityBeginsAnew guards against a node that takes the others for in touch though one of them has just come, started
// again or answers nobody.
func TestStabilityBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		row := func(name string, incarnation int, state membership.State) wire.Member {
			return wire.Member{
				Name:        name,
				Incarnation: incarnation,
				State:       int(state),
			}
		}
		var s stability
		is.Equal(s.since(), time.Duration(0))
		observe := func(members ...wire.Member) {
			s.observe(members, time.Now())
			time.Sleep(time.Second)
		}
		a, b := row("a", 1, membership.Alive), row("b", 1, membership.Alive)
		observe(a, b)
		observe(a, b)
		is.Equal(s.since(), 2*time.Second)
		observe(a, row("b", 2, membership.Alive)) // started again
		is.Equal(s.since(), time.Second)
		observe(a, row("b", 2, membership.Suspect))
		is.Equal(s.since(), time.Duration(0))
		observe(a, row("b", 3, membership.Alive))
		observe(a, row("b", 3, membership.Left)) // it will list nothing any more
		is.Equal(s.since(), time.Second)
		observe(a, row("b", 3, membership.Left), row("c", 1, membership.Alive))
		is.Equal(s.since(), time.Second)
		observe(a, row("c", 1, membership.Alive))
		is.Equal(s.since(), 2*time.Second)
	})
}
