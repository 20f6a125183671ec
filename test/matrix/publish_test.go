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

// publishWord is what an operator is told.
func publishWord(verdict wire.RuleVerdict, err error) string {
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

func TestPublishMatrix(t *testing.T) {
	strikes := []struct {
		step  string
		fault standin.Fault
		rival bool
	}{
		{step: "no fault"},
		{
			step:  "log refuses",
			fault: always(standin.FaultRefuse),
		},
		{
			step:  "log hangs",
			fault: always(standin.FaultHang),
		},
		{
			step:  "answer lost after the effect",
			fault: once(standin.FaultLoseAnswer),
		},
		{
			step:  "takes effect after the operator gave up",
			fault: delayed(standin.FaultLateApply, 2*time.Second),
		},
		{
			step:  "another operator publishes first",
			rival: true,
		},
		{
			step:  "another operator publishes first, and the answer is lost",
			fault: once(standin.FaultLoseAnswer),
			rival: true,
		},
	}
	rows := make([]string, len(strikes))
	t.Run("cells", func(t *testing.T) {
		for i, s := range strikes {
			t.Run(s.step, func(t *testing.T) {
				t.Parallel()
				l := lab.Start(t, lab.Settings{
					Nodes: 3,
					Rules: rules(),
				})
				base := l.Nodes[1].Status().Revision
				if s.rival {
					verdict, err := l.Nodes[2].Publish(t.Context(), wire.PublishRequest{
						PublishID: "rival",
						Base:      base,
						Text:      rules() + "# rival\n",
					})
					if err != nil || !verdict.Accepted {
						t.Fatal(err, verdict)
					}
				}
				first := strikePublish(t, l, s.fault, base)
				again := publish(t.Context(), l.Nodes[0], base)
				settled := agree(t, l)
				rows[i] = fmt.Sprintf("| %s | %s | %s | %s |", s.step, first, again, settled)
			})
		}
	})
	golden(t, "publish", append([]string{
		"| fault | told first | told when asked again with the same publish ID, at another node | in force at every node |",
		"|---|---|---|---|",
	}, rows...))
}

func strikePublish(t *testing.T, l *lab.Lab, fault standin.Fault, base int) string {
	t.Helper()
	if fault.Kind != "" {
		l.Platform.Set(fault)
	}
	first := publish(t.Context(), l.Nodes[1], base)
	fault.Times = 0
	l.Platform.Set(fault)
	time.Sleep(2500 * time.Millisecond) // what was late has taken effect
	return first
}

func publish(ctx context.Context, n *lab.Node, base int) string {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	return publishWord(n.Publish(ctx, wire.PublishRequest{
		PublishID: "mine",
		Base:      base,
		Text:      rules() + "# mine\n",
	}))
}

// agree waits until every node has the same revision in force, and says whose text it is.
func agree(t *testing.T, l *lab.Lab) string {
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
