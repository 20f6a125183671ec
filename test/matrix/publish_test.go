package matrix

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/platform"
	"lagoongw/test/lab"
	"lagoongw/test/standin"
)

// publishOutcome returns the outcome of a publish request as the table of docs/FAULTS.md words it.
func publishOutcome(verdict wire.RuleVerdict, err error) string {
	switch {
	case errors.Is(err, platform.ErrNotAppended):
		return "not published"
	case err != nil:
		return "unknown"
	case verdict.Accepted:
		return "in force"
	}
	return "refused: another won"
}

// TestPublishMatrix publishes a rule file under each fault, repeats the request at another node and compares the
// outcomes with docs/FAULTS.md.
func TestPublishMatrix(t *testing.T) {
	cases := []struct {
		name      string
		fault     standin.Fault
		competing bool
	}{
		{name: "no fault"},
		{
			name:  "log refuses",
			fault: always(standin.FaultRefuse),
		},
		{
			name:  "log hangs",
			fault: always(standin.FaultHang),
		},
		{
			name:  "answer lost after the effect",
			fault: once(standin.FaultLoseAnswer),
		},
		{
			name:  "takes effect after the operator gave up",
			fault: delayed(standin.FaultLateApply, 2*time.Second),
		},
		{
			name:      "another operator publishes first",
			competing: true,
		},
		{
			name:      "another operator publishes first, and the answer is lost",
			fault:     once(standin.FaultLoseAnswer),
			competing: true,
		},
	}
	rows := make([]string, len(cases))
	t.Run("cells", func(t *testing.T) {
		for i, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				l := lab.Start(t, lab.Settings{
					Nodes: 3,
					Rules: rules(),
				})
				base := l.Nodes[1].Status().Revision
				if c.competing {
					verdict, err := l.Nodes[2].Publish(t.Context(), wire.PublishRequest{
						PublishID: "rival",
						Base:      base,
						Text:      rules() + "# rival\n",
					})
					if err != nil || !verdict.Accepted {
						t.Fatal(err, verdict)
					}
				}
				first := publishUnderFault(t, l, c.fault, base)
				again := publish(t.Context(), l.Nodes[0], base)
				inForce := waitSameRules(t, l)
				rows[i] = fmt.Sprintf("| %s | %s | %s | %s |", c.name, first, again, inForce)
			})
		}
	})
	compareGolden(t, "publish", append([]string{
		"| fault | told first | told when asked again with the same publish ID, at another node | in force at every node |",
		"|---|---|---|---|",
	}, rows...))
}

// publishUnderFault publishes a rule file while the platform has a fault, clears the fault, waits for a late append to
// take effect and returns the outcome.
func publishUnderFault(t *testing.T, l *lab.Lab, fault standin.Fault, base int) string {
	t.Helper()
	if fault.Kind != "" {
		l.Platform.Set(fault)
	}
	first := publish(t.Context(), l.Nodes[1], base)
	fault.Times = 0
	l.Platform.Set(fault)
	time.Sleep(2500 * time.Millisecond) // longer than the delay of a late append
	return first
}

func publish(ctx context.Context, n *lab.Node, base int) string {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	return publishOutcome(n.Publish(ctx, wire.PublishRequest{
		PublishID: "mine",
		Base:      base,
		Text:      rules() + "# mine\n",
	}))
}

// waitSameRules waits until the same rule file is in force at every node, and returns which one it is as the table of
// docs/FAULTS.md words it.
func waitSameRules(t *testing.T, l *lab.Lab) string {
	t.Helper()
	var text string
	l.WaitUntil(func() bool {
		states := map[string]bool{}
		for _, n := range l.Nodes {
			state, err := n.Rules()
			if err != nil {
				return false
			}
			text = state.Text
			states[fmt.Sprint(state.Revision)+state.Text] = true
		}
		return len(states) == 1
	})
	switch text {
	case rules() + "# mine\n":
		return "mine"
	case rules() + "# rival\n":
		return "the other operator's"
	}
	return "the old file"
}
