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

// Six nodes in three zones, of which one a zone reads each claims stream: most orders are claimed through another node.
func TestOrdersClaimedThroughHoldersRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(l *lab.Lab)
	}{
		{
			name:   "no fault",
			strike: func(*lab.Lab) {},
		},
		{
			name: "lost and late appends",
			strike: func(l *lab.Lab) {
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
			name:   "a node is drained, and its part of the holding passes on",
			strike: func(l *lab.Lab) { l.Nodes[3].Drain() },
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
			told := map[string][]string{}
			for i := range orders {
				if i == orders/3 {
					c.strike(l)
				}
				time.Sleep(10 * time.Millisecond)
				group.Go(func() {
					key := fmt.Sprint("order-", i)
					words := orderEverywhere(t.Context(), l, key)
					mu.Lock()
					defer mu.Unlock()
					told[key] = words
				})
			}
			group.Wait()
			completed := 0
			for key, words := range told {
				ran := l.Executions()[key]
				is.True(ran <= 1)
				done, open := false, false
				for _, word := range words {
					done = done || word == "completed"
					open = open || word != "not-run"
				}
				if done {
					completed++
					is.Equal(ran, 1)
				}
				if !open {
					is.Equal(ran, 0)
				}
			}
			t.Logf("%d of %d orders completed", completed, orders)
			is.True(completed > orders/2)
		})
	}
}

// orderEverywhere asks for a key at each node in turn, until it is completed.
func orderEverywhere(ctx context.Context, l *lab.Lab, key string) []string {
	var words []string
	for _, n := range l.Nodes {
		answer, err := fleet.PostOrder(ctx, n.Process(), fleet.MillToken, key, key)
		word := answer.Outcome
		if err != nil {
			word = "no answer"
		}
		words = append(words, word)
		if word == "completed" {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return words
}
