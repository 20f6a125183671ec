package members

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/protocol/wire"
)

// TestStatesOfForgottenMembersAreForgotten guards against a state kept for each member that there ever was.
func TestStatesOfForgottenMembersAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := &Service{
		Machine: membership.New(wire.Member{Name: "self"}, nil),
		Logger:  zerolog.Nop(),
	}
	s.Machine.Start(now)
	for i := range 10 {
		s.Machine.HandleDigest(wire.Digest{From: wire.Member{
			Name:        strconv.Itoa(i),
			Incarnation: 1,
			State:       int(membership.Left),
		}}, now)
		s.publish()
		now = now.Add(2 * s.Machine.ForgetAfter)
		s.Machine.Tick(now)
		s.publish()
	}
	is.True(len(s.lastStates) <= 2)
}
