package matrix

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/transport/node"
	"lagoongw/test/fleet"
	"lagoongw/test/lab"
	"lagoongw/test/standin"
)

// Orders must run at most once also when most nodes have to claim idempotency keys through another node: of the two
// nodes in each zone, only one (the holder) reads each claims stream, which is a stream of the log.
func TestOrdersClaimedThroughHoldersRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(l *lab.Lab)
	}{
		{
			name:   "no fault",
			inject: func(*lab.Lab) {},
		},
		{
			name: "lost and late appends",
			inject: func(l *lab.Lab) {
				l.Platform.Set(standin.Fault{
					Kind:  standin.FaultLoseAnswer,
					Times: 10,
				})
				l.Platform.Set(standin.Fault{
					Kind:    standin.FaultLateApply,
					Times:   5,
					DelayMs: 800,
				})
			},
		},
		{
			name:   "a node is drained and another takes over its claims streams",
			inject: func(l *lab.Lab) { l.Nodes[3].Drain() },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := lab.Start(t, lab.Settings{
				Nodes:         6,
				Services:      3,
				ConfigureNode: func(n *node.Node) { n.ClaimHolders = 1 },
			})
			const orders = 60
			var mu sync.Mutex
			var group sync.WaitGroup
			outcomes := map[string][]string{}
			for i := range orders {
				if i == orders/3 {
					c.inject(l)
				}
				time.Sleep(10 * time.Millisecond)
				group.Go(func() {
					key := fmt.Sprint("order-", i)
					keyOutcomes := orderAtEachNode(t.Context(), l, key)
					mu.Lock()
					defer mu.Unlock()
					outcomes[key] = keyOutcomes
				})
			}
			group.Wait()
			completed := 0
			for key, keyOutcomes := range outcomes {
				executions := l.Executions()[key]
				is.True(executions <= 1)
				anyCompleted, mayHaveRun := false, false
				for _, outcome := range keyOutcomes {
					anyCompleted = anyCompleted || outcome == "completed"
					mayHaveRun = mayHaveRun || outcome != "not-run"
				}
				if anyCompleted {
					completed++
					is.Equal(executions, 1)
				}
				if !mayHaveRun {
					is.Equal(executions, 0)
				}
			}
			t.Logf("%d of %d orders completed", completed, orders)
			is.True(completed > orders/2)
		})
	}
}

// orderAtEachNode sends an order with the given key to each node in turn until one reports it completed, and returns
// all outcomes.
func orderAtEachNode(ctx context.Context, l *lab.Lab, key string) []string {
	var outcomes []string
	for _, n := range l.Nodes {
		response, err := fleet.PostOrder(ctx, n.Process(), fleet.MillToken, key, key)
		outcome := response.Outcome
		if err != nil {
			outcome = "no response"
		}
		outcomes = append(outcomes, outcome)
		if outcome == "completed" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return outcomes
}
