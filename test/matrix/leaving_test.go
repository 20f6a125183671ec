package matrix

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/test/fleet"
	"lagoongw/test/lab"
	"lagoongw/test/standin"
)

// noticeWithin is how long after the first sign an upstream may still get new work.
const noticeWithin = 2 * time.Second

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name string
		sign func(l *lab.Lab)
	}{
		{
			name: "list of VMs",
			sign: func(l *lab.Lab) { l.SetVMState("engine-1", "leaving") },
		},
		{
			name: "load report or refusal",
			sign: func(l *lab.Lab) { l.Engines[0].Set(always(standin.FaultLeaving)) },
		},
		{
			name: "a peer's word alone",
			sign: func(l *lab.Lab) { l.Nodes[1].MarkUpstreamLeaving("engine-1", "test") },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := lab.Start(t, lab.Settings{
				Nodes:   3,
				Engines: 3,
			})
			ask := func() {
				for _, n := range l.Nodes {
					answer, err := fleet.PostChat(t.Context(), n.Process(), fleet.MillToken, "which coil?", 2, false)
					is.NoErr(err)
					is.Equal(answer.Outcome, "completed") // no request suffers from the leaving
				}
			}
			ask()
			is.True(l.Engines[0].Tokens() > 0) // engine-1 does get work before
			c.sign(l)
			for until := time.Now().Add(noticeWithin); time.Now().Before(until); {
				ask()
			}
			before := l.Engines[0].Tokens()
			for range 10 {
				ask()
			}
			is.Equal(l.Engines[0].Tokens(), before)
		})
	}
}

func TestPeersAndOperatorsNeedTheirSecrets(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:    1,
		Engines:  1,
		Services: 1,
	})
	thief := lab.Start(t, lab.Settings{
		Nodes:   1,
		Engines: 1,
	})
	var digest wire.Digest
	err := lab.SendDigest(t.Context(), "wrong secret of a thief", l.Nodes[0].PeerAddress, &digest)
	is.True(err != nil)
	is.NoErr(lab.SendDigest(t.Context(), fleet.PeerSecret, l.Nodes[0].PeerAddress, &digest))
	is.Equal(digest.From.Name, "entry-1")
	for _, path := range []string{"/v1/operator/status", "/v1/operator/rules", "/debug/vars"} {
		is.Equal(lab.GetStatusCode(t.Context(), l.Nodes[0].Address, path, "wrong"), 401)
		is.Equal(lab.GetStatusCode(t.Context(), l.Nodes[0].Address, path, ""), 401)
		is.Equal(lab.GetStatusCode(t.Context(), l.Nodes[0].Address, path, fleet.OperatorToken), 200)
	}
	answer, err := fleet.PostOrder(t.Context(), thief.Nodes[0].Process(), "no such token", "k", "k")
	is.NoErr(err)
	is.Equal(answer.Status, 401)
	is.Equal(answer.Outcome, "not-run")
}
