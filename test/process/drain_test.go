package process

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/test/fleet"
)

func TestTermCutsNoStream(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Settings{
		Nodes:      3,
		Engines:    2,
		EngineArgs: []string{"--slots", "32", "--token-time", "20ms"},
	})
	const (
		streams = 10
		tokens  = 150
	)
	answers := make([]fleet.Response, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			answer, err := fleet.PostChat(t.Context(), f.Nodes[1], fleet.MillToken, "a long question", tokens, true)
			if err != nil {
				t.Error(err)
			}
			answers[i] = answer
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.Nodes[1].Signal(syscall.SIGTERM)
	f.Nodes[1].Signal(syscall.SIGTERM)
	time.Sleep(2500 * time.Millisecond)
	late, err := fleet.PostChat(t.Context(), f.Nodes[1], fleet.MillToken, "too late", 2, false)
	is.NoErr(err) // a draining node answers while streams are in flight
	is.Equal(late.Outcome, "not-run")
	group.Wait()
	for _, answer := range answers {
		if !answer.Complete || answer.Outcome != "completed" || len(answer.ChunkOffsets) != tokens {
			t.Errorf("stream cut: status %d, outcome %q, %d pieces, end mark %t, body %s",
				answer.Status, answer.Outcome, len(answer.ChunkOffsets), answer.Complete, answer.Body)
		}
	}
	is.True(f.Nodes[1].WaitExit(10 * time.Second))
	other, err := fleet.PostChat(t.Context(), f.Nodes[0], fleet.MillToken, "still here", 2, false)
	is.NoErr(err)
	is.Equal(other.Outcome, "completed")
}
