package matrix

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lagoongw/internal/transport/node"
	"lagoongw/test/fleet"
	"lagoongw/test/lab"
	"lagoongw/test/standin"
)

// TestDrainMatrix drains a node with streams in flight under each fault and compares the results with docs/FAULTS.md.
func TestDrainMatrix(t *testing.T) {
	cases := []struct {
		name   string
		inject func(l *lab.Lab)
	}{
		{
			name:   "no fault",
			inject: func(*lab.Lab) {},
		},
		{
			name:   "log refuses during the drain",
			inject: func(l *lab.Lab) { l.Platform.Set(always(standin.FaultRefuse)) },
		},
		{
			name:   "an engine's stream is cut during the drain",
			inject: func(l *lab.Lab) { l.Engines[0].Set(once(standin.FaultTruncateStream)) },
		},
		{
			name:   "an engine goes silent during the drain",
			inject: func(l *lab.Lab) { l.Engines[0].Set(once(standin.FaultStallStream)) },
		},
		{
			name:   "asked to drain twice",
			inject: func(l *lab.Lab) { l.Nodes[0].Drain() },
		},
		{
			name:   "an engine leaves during the drain",
			inject: func(l *lab.Lab) { l.Engines[0].Set(always(standin.FaultLeaving)) },
		},
	}
	rows := make([]string, len(cases))
	t.Run("cells", func(t *testing.T) {
		for i, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				rows[i] = fmt.Sprintf("| %s | %s |", c.name, drainUnderFault(t, c.inject))
			})
		}
	})
	compareGolden(t, "drain", append([]string{
		"| fault | what the callers learned |",
		"|---|---|",
	}, rows...))
}

// drainUnderFault drains a node with streams in flight, injects a fault and returns the description of how the streams
// ended for the table.
func drainUnderFault(t *testing.T, inject func(l *lab.Lab)) string {
	t.Helper()
	const (
		streams = 6
		tokens  = 400
	)
	l := lab.Start(t, lab.Settings{
		Nodes:           2,
		Engines:         2,
		Rules:           rules(),
		ConfigureNode:   func(n *node.Node) { n.EntryAnswerTTL = time.Second },
		ConfigureEngine: func(e *standin.Engine) { e.TokenTime = 5 * time.Millisecond },
	})
	var group sync.WaitGroup
	responses := make([]fleet.Response, streams)
	for i := range streams {
		group.Go(func() {
			response, err := fleet.PostChat(t.Context(), l.Nodes[0].Process(), fleet.MillToken, "long", tokens, true)
			if err != nil {
				t.Error(err)
			}
			responses[i] = response
		})
	}
	time.Sleep(300 * time.Millisecond)
	l.Nodes[0].Drain()
	inject(l)
	l.WaitUntil(func() bool { return len(l.ListedAddresses(l.Nodes[1])) == 1 })
	group.Wait()
	complete := 0
	for _, response := range responses {
		if response.Complete && response.Outcome == "completed" && len(response.ChunkOffsets) == tokens {
			complete++
		}
	}
	if !l.Nodes[0].WaitStopped(10 * time.Second) {
		t.Error("the drained node did not stop within 10 s")
	}
	return fmt.Sprintf("%d of %d streams whole, the node ended, and was not listed meanwhile", complete, streams)
}
