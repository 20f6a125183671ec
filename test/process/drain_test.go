package process

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/test/fleet"
)

// SIGTERM, also if sent twice, must not cut streams in flight: the node refuses new requests and stops after the last
// stream, while other nodes go on serving.
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
	responses := make([]fleet.Response, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			response, err := fleet.PostChat(t.Context(), f.Nodes[1], fleet.MillToken, "a long question", tokens, true)
			if err != nil {
				t.Error(err)
			}
			responses[i] = response
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.Nodes[1].Signal(syscall.SIGTERM)
	f.Nodes[1].Signal(syscall.SIGTERM)
	time.Sleep(2500 * time.Millisecond) // a draining node accepts requests for --keep-answer (1 s) plus 1 s
	lateResponse, err := fleet.PostChat(t.Context(), f.Nodes[1], fleet.MillToken, "too late", 2, false)
	is.NoErr(err) // a draining node responds while streams are in flight
	is.Equal(lateResponse.Outcome, "not-run")
	group.Wait()
	for _, response := range responses {
		if !response.Complete || response.Outcome != "completed" || len(response.ChunkOffsets) != tokens {
			t.Errorf("stream cut: status %d, outcome %q, %d chunks, complete %t, body %s",
				response.Status, response.Outcome, len(response.ChunkOffsets), response.Complete, response.Body)
		}
	}
	is.True(f.Nodes[1].WaitExit(10 * time.Second))
	otherNode, err := fleet.PostChat(t.Context(), f.Nodes[0], fleet.MillToken, "still here", 2, false)
	is.NoErr(err)
	is.Equal(otherNode.Outcome, "completed")
}
