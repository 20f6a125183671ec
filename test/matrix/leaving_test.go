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

// maxNoticeDelay is the time after which no node may send requests to an upstream that is leaving.
const maxNoticeDelay = 2 * time.Second

// An upstream that is leaving must get no new requests, whether the list of VMs, the upstream itself or a peer reports
// it, and no request may fail meanwhile.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name        string
		markLeaving func(l *lab.Lab)
	}{
		{
			name:        "list of VMs",
			markLeaving: func(l *lab.Lab) { l.SetVMState("engine-1", "leaving") },
		},
		{
			name:        "load report or refusal",
			markLeaving: func(l *lab.Lab) { l.Engines[0].Set(always(standin.FaultLeaving)) },
		},
		{
			name:        "report of a peer only",
			markLeaving: func(l *lab.Lab) { l.Nodes[1].MarkUpstreamLeaving("engine-1", "test") },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := lab.Start(t, lab.Settings{
				Nodes:   3,
				Engines: 3,
			})
			sendChats := func() {
				for _, n := range l.Nodes {
					response, err := fleet.PostChat(t.Context(), n.Process(), fleet.MillToken, "which coil?", 2, false)
					is.NoErr(err)
					is.Equal(response.Outcome, "completed") // no request fails because the engine is leaving
				}
			}
			sendChats()
			is.True(l.Engines[0].Tokens() > 0) // engine-1 gets requests before it is leaving
			c.markLeaving(l)
			for deadline := time.Now().Add(maxNoticeDelay); time.Now().Before(deadline); {
				sendChats()
			}
			tokens := l.Engines[0].Tokens()
			for range 10 {
				sendChats()
			}
			is.Equal(l.Engines[0].Tokens(), tokens)
		})
	}
}

// A node must reject peers with another secret, operators without the operator token and callers without a team token.
func TestPeersAndOperatorsNeedTheirSecrets(t *testing.T) {
	is := is.New(t)
	l := lab.Start(t, lab.Settings{
		Nodes:    1,
		Engines:  1,
		Services: 1,
	})
	otherLab := lab.Start(t, lab.Settings{
		Nodes:   1,
		Engines: 1,
	})
	var digest wire.Digest
	err := lab.SendDigest(t.Context(), "wrong secret of another fleet", l.Nodes[0].PeerAddress, &digest)
	is.True(err != nil)
	is.NoErr(lab.SendDigest(t.Context(), fleet.PeerSecret, l.Nodes[0].PeerAddress, &digest))
	is.Equal(digest.From.Name, "entry-1")
	for _, path := range []string{"/v1/operator/status", "/v1/operator/rules", "/debug/vars"} {
		is.Equal(lab.GetStatusCode(t.Context(), l.Nodes[0].Address, path, "wrong"), 401)
		is.Equal(lab.GetStatusCode(t.Context(), l.Nodes[0].Address, path, ""), 401)
		is.Equal(lab.GetStatusCode(t.Context(), l.Nodes[0].Address, path, fleet.OperatorToken), 200)
	}
	response, err := fleet.PostOrder(t.Context(), otherLab.Nodes[0].Process(), "no such token", "k", "k")
	is.NoErr(err)
	is.Equal(response.Status, 401)
	is.Equal(response.Outcome, "not-run")
}
