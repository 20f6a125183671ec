package stops

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/test/site"
)

// The retries that all nodes together may send to a pool in any window, which are also in the settings of package site.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 56
)

// arrival is a request that has reached an upstream of a pool, whether or not it runs there.
type arrival struct {
	pool, id string
	at       time.Time
}

// arrive notes that a request has reached an upstream.
func (u *upstream) arrive(id string) {
	u.upstreams.mu.Lock()
	defer u.upstreams.mu.Unlock()
	u.arrivals = append(u.arrivals, arrival{
		pool: u.pool,
		id:   id,
		at:   time.Now(),
	})
}

// overBudget returns a text for each pool that got more repeats in a window than the settings allow, and how near the others came.
// The requests for a pool are counted in the same window, the one before it or the one half a window before it.
func (f *fixture) overBudget() (faults []string, most map[string]string) {
	f.upstreams.mu.Lock()
	defer f.upstreams.mu.Unlock()
	most = map[string]string{}
	for _, pool := range []string{poolModels, poolOrders} {
		var requests, repeats []time.Time
		for _, r := range f.requests {
			if isModel := r.events > 0; isModel == (pool == poolModels) {
				requests = append(requests, r.sent)
			}
		}
		arrived := map[string]bool{}
		for _, each := range f.upstreams.arrivals {
			if each.pool != pool {
				continue
			}
			if arrived[each.id] {
				repeats = append(repeats, each.at)
			}
			arrived[each.id] = true
		}
		highest := 0.0
		for _, end := range repeats {
			earned := max(countWithin(requests, end), countWithin(requests, end.Add(-retryWindow/2)), countWithin(requests, end.Add(-retryWindow)))
			count, allowed := countWithin(repeats, end), retryRatio*float64(earned)+retrySlack
			if share := float64(count) / allowed; share > highest {
				highest = share
				most[pool] = fmt.Sprintf("%s: %d repeats of %d requests in a window, %.1f allowed", pool, count, earned, allowed)
			}
		}
		if highest > 1 {
			faults = append(faults, most[pool])
		}
	}
	return faults, most
}

// countWithin counts the times in the window that ends at a time.
func countWithin(times []time.Time, end time.Time) (count int) {
	for _, at := range times {
		if at.After(end.Add(-retryWindow)) && !at.After(end) {
			count++
		}
	}
	return count
}

// restartPause is the time between the start of a node and the end of the next one: the requests of a second show whether it repeats
// more than its share.
const restartPause = 500 * time.Millisecond

// restart ends a process and starts it again.
func (f *fixture) restart(t *testing.T, n *site.Node) {
	t.Helper()
	n.Kill()
	n.Start(f.program, "error", nil)
	time.Sleep(restartPause)
}

// TestRestartsDontRaiseTheRetriesOfAllNodes guards against retries beyond the limit of all nodes together: each node that started had
// its whole share again, and that of all others until it knew them (BUDGET).
func TestRestartsDontRaiseTheRetriesOfAllNodes(t *testing.T) {
	is := is.New(t)
	f := start(t, programToTest(t), play{
		seed:     1,
		nodes:    4,
		zones:    2,
		grace:    4 * time.Second,
		callers:  24,
		length:   15 * time.Second,
		kinds:    []string{"status"},
		slow:     true,
		restarts: true,
	})
	f.run(t)
	over, most := f.overBudget()
	t.Log(most)
	is.Equal(over, nil)
	_, c := f.check()
	is.True(c.answered > 100) // the play tells something
}
