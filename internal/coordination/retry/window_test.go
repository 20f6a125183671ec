package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lagoongw/test/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

var testStart = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func newWindow(nodes int) *WindowBudget {
	return &WindowBudget{
		Allowance: func() Allowance {
			return Allowance{
				Length: 10 * time.Second,
				Ratio:  0.2,
				Slack:  56,
			}
		},
		Nodes: func() int { return nodes },
	}
}

func TestSlackIsSharedByTheNodes(t *testing.T) {
	is := is.New(t)
	w := newWindow(8)
	taken := 0
	for w.Allows(testStart) {
		is.True(w.Allows(testStart)) // it takes none
		is.True(w.Take(testStart))
		taken++
	}
	is.True(!w.Take(testStart))
	is.Equal(taken, 7) // a slack of 56, divided by 8 nodes
	for range 20 {
		w.RecordRequest(testStart)
	}
	is.True(w.Take(testStart)) // 20 requests earn 2 more: a node uses half of the ratio of 0.2
	is.True(w.Take(testStart))
	is.True(!w.Take(testStart))
	is.True(!w.Take(testStart.Add(7 * time.Second)))
	is.True(w.Take(testStart.Add(13 * time.Second)))
}

// TestNodeThatStartsHasNoSlackForAWindow guards against a restart that renews a share of the slack.
func TestNodeThatStartsHasNoSlackForAWindow(t *testing.T) {
	is := is.New(t)
	w := newWindow(8)
	w.NodeStartedAt = testStart
	is.True(!w.Take(testStart))
	for range 10 {
		w.RecordRequest(testStart)
	}
	is.True(w.Take(testStart)) // its requests earn retries at once
	is.True(!w.Take(testStart.Add(10 * time.Second)))
	is.True(w.Take(testStart.Add(10*time.Second + time.Millisecond)))
}

// TestNoWindowOfAllNodesHasTooManyRetries draws requests and retries at all nodes and checks each window that ends
// with a retry. Over all nodes, such a window may hold at most the slack, plus the ratio times the requests of this
// window, of the one before it, or of the one that begins half a window earlier, whichever has the most.
func TestNoWindowOfAllNodesHasTooManyRetries(t *testing.T) { checkWindows(t, false) }

// TestNoWindowHasTooManyRetriesAlthoughNodesRestart guards against nodes that had their share of the slack again at each start.
func TestNoWindowHasTooManyRetriesAlthoughNodesRestart(t *testing.T) { checkWindows(t, true) }

func checkWindows(t *testing.T, restarts bool) {
	const length = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "nodes")
		nodes := make([]*WindowBudget, count)
		for i := range nodes {
			nodes[i] = newWindow(count)
		}
		var requests, retries []time.Time
		now := testStart
		for range rapid.IntRange(10, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			number := rapid.IntRange(0, count-1).Draw(t, "node")
			if restarts && rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				nodes[number] = newWindow(count)
				nodes[number].NodeStartedAt = now
			}
			node := nodes[number]
			if rapid.Bool().Draw(t, "request") {
				node.RecordRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "wanted") {
				if node.Take(now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			got := countBetween(retries, end.Add(-length), end)
			allowed := 0.2*float64(max(countBetween(requests, end.Add(-length), end),
				countBetween(requests, end.Add(-length*3/2), end.Add(-length/2)),
				countBetween(requests, end.Add(-2*length), end.Add(-length)))) + 56
			if float64(got) > allowed {
				t.Fatalf("%d retries in a window, want at most %.1f", got, allowed)
			}
		}
	})
}

func countBetween(times []time.Time, after, until time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			count++
		}
	}
	return count
}
