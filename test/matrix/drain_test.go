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

func TestDrainMatrix(t *testing.T) {
	strikes := []struct {
		step   string
		strike func(l *lab.Lab)
	}{
		{
			step:   "no fault",
			strike: func(*lab.Lab) {},
		},
		{
			step:   "log refuses during the drain",
			strike: func(l *lab.Lab) { l.Platform.Set(always(standin.FaultRefuse)) },
		},
		{
			step:   "an engine's stream is cut during the drain",
			strike: func(l *lab.Lab) { l.Engines[0].Set(once(standin.FaultTruncateStream)) },
		},
		{
			step:   "an engine goes silent during the drain",
			strike: func(l *lab.Lab) { l.Engines[0].Set(once(standin.FaultStallStream)) },
		},
		{
			step:   "asked to drain twice",
			strike: func(l *lab.Lab) { l.Nodes[0].Drain() },
		},
		{
			step:   "an engine leaves during the drain",
			strike: func(l *lab.Lab) { l.Engines[0].Set(always(standin.FaultLeaving)) },
		},
	}
	rows := make([]string, len(strikes))
	t.Run("cells", func(t *testing.T) {
		for i, s := range strikes {
			t.Run(s.step, func(t *testing.T) {
				t.Parallel()
				rows[i] = fmt.Sprintf("| %s | %s |", s.step, drainUnder(t, s.strike))
			})
		}
	})
	golden(t, "drain", append([]string{
		"| fault | what the callers learned |",
		"|---|---|",
	}, rows...))
}

// drainUnder drains a node with streams in flight, and says how they ended.
func drainUnder(t *testing.T, strike func(l *lab.Lab)) string {
	t.Helper()
	const (
		streams = 6
		length  = 400
	)
	l := lab.Start(t, lab.Settings{
		Nodes:           2,
		Engines:         2,
		Rules:           rules(),
		ConfigureNode:   func(n *node.Node) { n.EntryAnswerTTL = time.Second },
		ConfigureEngine: func(e *standin.Engine) { e.TokenTime = 5 * time.Millisecond },
	})
	var group sync.WaitGroup
	answers := make([]fleet.Response, streams)
	for i := range streams {
		group.Go(func() {
			answer, err := fleet.PostChat(t.Context(), l.Nodes[0].Process(), fleet.MillToken, "long", length, true)
			if err != nil {
				t.Error(err)
			}
			answers[i] = answer
		})
	}
	time.Sleep(300 * time.Millisecond)
	l.Nodes[0].Drain()
	strike(l)
	l.WaitUntil(func() bool { return len(l.ListedAddresses(l.Nodes[1])) == 1 })
	group.Wait()
	whole := 0
	for _, answer := range answers {
		if answer.Complete && answer.Outcome == "completed" && len(answer.ChunkOffsets) == length {
			whole++
		}
	}
	if !l.Nodes[0].WaitStopped(10 * time.Second) {
		t.Error("the node did not end")
	}
	return fmt.Sprintf("%d of %d streams whole, the node ended, and was not listed meanwhile", whole, streams)
}
