package ratelimit

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The bounds of what all nodes together may send to a limited upstream in modelWindow: excessFactor times what the limit
// allows, and excessSlack requests.
const (
	modelWindow  = 4 * time.Second
	excessFactor = 1.5
	excessSlack  = 5
	modelLength  = 60 * time.Second
	modelTick    = 250 * time.Millisecond
)

var update = flag.Bool("update", false, "update the golden file")

var modelUpstream = Upstream{Name: "engine"}

type modelEvent struct {
	at  time.Time
	run func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int           { return len(q) }
func (q modelQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q modelQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)        { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelNode is a node that wants to send requests to the upstream.
type modelNode struct {
	name   string
	grants Grants
	// view and known are what the node knows of the members.
	view  []string
	known int
	// deniedUntil is when the node asks again.
	deniedUntil time.Time
	frozenTill  time.Time
	down        bool
	side        int
	// share is the bucket of the policy that compares.
	share bucket
}

// model is a site that shares the limit of one upstream.
type model struct {
	random *rand.Rand
	now    time.Time
	queue  modelQueue
	nodes  []*modelNode
	limit  float64
	shares bool
	sent   []time.Time
	asked  int
}

func newSharing(seed uint64, nodes int, limit float64, shares bool) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 29)),
		now:    time.Unix(1_700_000_000, 0),
		limit:  limit,
		shares: shares,
	}
	for range nodes {
		m.add()
	}
	for _, n := range m.nodes {
		n.view, n.known = m.alive(n), len(m.nodes)
		n.grants.Tick(n.view, n.known, m.now.Add(-time.Minute))
	}
	return m
}

func (m *model) add() *modelNode {
	n := &modelNode{name: fmt.Sprint("node-", len(m.nodes))}
	n.grants.Self = n.name
	n.share.filledAt = m.now
	m.nodes = append(m.nodes, n)
	m.after(m.uniform(0, modelTick), func() { m.tick(n) })
	return n
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.queue, modelEvent{
		at:  m.now.Add(d),
		run: do,
	})
}

func (m *model) uniform(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(m.random.Int64N(int64(longest-shortest)))
}

func (m *model) run(d time.Duration) {
	end := m.now.Add(d)
	for len(m.queue) > 0 && m.queue[0].at.Before(end) {
		next := heap.Pop(&m.queue).(modelEvent)
		m.now = next.at
		next.run()
	}
	m.now = end
}

func (m *model) running(n *modelNode) bool { return !n.down && !m.now.Before(n.frozenTill) }

// tick is the periodic work of a node; a frozen one goes on later.
func (m *model) tick(n *modelNode) {
	if n.down {
		return
	}
	if wait := n.frozenTill.Sub(m.now); wait > 0 {
		m.after(wait, func() { m.tick(n) })
		return
	}
	n.grants.Tick(n.view, n.known, m.now)
	m.after(modelTick, func() { m.tick(n) })
}

// alive returns the nodes that a node can reach.
func (m *model) alive(n *modelNode) (names []string) {
	for _, other := range m.nodes {
		if !other.down && other.side == n.side && m.running(other) {
			names = append(names, other.name)
		}
	}
	slices.Sort(names)
	return names
}

// members has each node notice after a while what it can reach now.
func (m *model) members(earliest, latest time.Duration) {
	for _, n := range m.nodes {
		m.after(m.uniform(earliest, latest), func() { n.view, n.known = m.alive(n), len(m.nodes) })
	}
}

// demand has random nodes want to send requests.
func (m *model) demand(perSecond float64) {
	m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		n := m.nodes[m.random.IntN(len(m.nodes))]
		if m.running(n) && !m.now.Before(n.deniedUntil) {
			m.want(n)
		}
		m.demand(perSecond)
	})
}

// want has a node send a request if its policy allows.
func (m *model) want(n *modelNode) {
	if m.shares {
		rate := m.limit / float64(max(len(n.view), 1))
		n.share.tokens = min(n.share.tokens+rate*m.now.Sub(n.share.filledAt).Seconds(), max(rate*burstTime.Seconds(), minBurst))
		n.share.filledAt = m.now
		if n.share.tokens >= 1 {
			n.share.tokens--
			m.sent = append(m.sent, m.now)
		}
		return
	}
	holder := n.grants.Holder(modelUpstream)
	if holder == n.name {
		m.answered(n, n.grants.Take(modelUpstream, m.limit, m.now))
		return
	}
	m.asked++
	to := m.nodes[slices.IndexFunc(m.nodes, func(other *modelNode) bool { return other.name == holder })]
	there, back := m.uniform(time.Millisecond, 40*time.Millisecond), m.uniform(time.Millisecond, 40*time.Millisecond)
	m.after(there, func() {
		if !m.running(to) || to.side != n.side {
			m.after(400*time.Millisecond, func() { m.answered(n, Grant{Wait: 500 * time.Millisecond}) })
			return
		}
		grant := to.grants.Take(modelUpstream, m.limit, m.now)
		m.after(back, func() { m.answered(n, grant) })
	})
}

func (m *model) answered(n *modelNode, grant Grant) {
	if grant.Granted && m.running(n) {
		m.sent = append(m.sent, m.now)
	}
	if !grant.Granted {
		n.deniedUntil = m.now.Add(grant.Wait)
	}
}

// busiest returns the largest number of requests within modelWindow.
func (m *model) busiest() (most int) {
	first := 0
	for i, at := range m.sent {
		for at.Sub(m.sent[first]) >= modelWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (m *model) holder() *modelNode {
	name := m.nodes[0].grants.Holder(modelUpstream)
	return m.nodes[slices.IndexFunc(m.nodes, func(n *modelNode) bool { return n.name == name })]
}

// troubles are what happens to the site between seconds 15 and 45.
var troubles = []struct {
	name string
	play func(m *model)
}{
	{name: "calm", play: func(*model) {}},
	{name: "nodes join", play: func(m *model) {
		for range max(len(m.nodes)/3, 1) {
			n := m.add()
			n.view, n.known = []string{n.name}, 1
		}
		m.members(200*time.Millisecond, 2500*time.Millisecond)
	}},
	{name: "holder dies", play: func(m *model) {
		m.holder().down = true
		m.members(1500*time.Millisecond, 4*time.Second)
	}},
	{name: "restarts", play: func(m *model) {
		for i, n := range slices.Clone(m.nodes[:min(len(m.nodes), 10)]) {
			m.after(time.Duration(i)*3*time.Second, func() {
				n.down = true
				m.members(50*time.Millisecond, time.Second)
				m.after(time.Second, func() {
					n.down = false
					n.grants = Grants{Self: n.name}
					n.deniedUntil = time.Time{}
					n.share = bucket{filledAt: m.now}
					n.view, n.known = []string{n.name}, 1
					m.tick(n)
					m.members(200*time.Millisecond, 2500*time.Millisecond)
				})
			})
		}
	}},
	{name: "holder freezes", play: func(m *model) {
		frozen := m.holder()
		frozen.frozenTill = m.now.Add(6 * time.Second)
		m.members(1500*time.Millisecond, 4*time.Second)
		m.after(6*time.Second, func() { m.members(200*time.Millisecond, 2500*time.Millisecond) })
	}},
	{name: "partition", play: func(m *model) {
		for i, n := range m.nodes {
			n.side = i % 2
		}
		m.members(1500*time.Millisecond, 4*time.Second)
		m.after(15*time.Second, func() {
			for _, n := range m.nodes {
				n.side = 0
			}
			m.members(200*time.Millisecond, 2500*time.Millisecond)
		})
	}},
}

// play returns the most requests in a window, as a share of what is allowed, and the share of the limit that was used.
func play(seed uint64, nodes int, limit float64, shares bool, trouble func(*model)) (excess, used float64, asked int) {
	m := newSharing(seed, nodes, limit, shares)
	m.demand(limit*3 + 2)
	m.run(15 * time.Second)
	trouble(m)
	m.run(modelLength - 15*time.Second)
	allowed := excessFactor*limit*modelWindow.Seconds() + excessSlack
	return float64(m.busiest()) / allowed, float64(len(m.sent)) / (limit * modelLength.Seconds()), m.asked
}

// TestOneHolderAgainstShares compares one holder with equal shares of the limit. The holder must keep to the bound in all
// cases, and use most of the limit in calm times.
func TestOneHolderAgainstShares(t *testing.T) {
	is := is.New(t)
	var table strings.Builder
	fmt.Fprintf(&table, "%-16s%6s%7s  %14s%14s  %14s%14s%8s\n", "", "nodes", "limit", "shares: most", "used", "holder: most", "used", "calls/s")
	for _, trouble := range troubles {
		for _, nodes := range []int{2, 9, 66, 195} {
			for _, limit := range []float64{0.5, 1, 10, 100} {
				var most, used [2]float64
				var calls float64
				const seeds = 1
				for seed := range uint64(seeds) {
					for i, shares := range []bool{true, false} {
						e, u, asked := play(seed, nodes, limit, shares, trouble.play)
						most[i] = max(most[i], e)
						used[i] += u / seeds
						calls += float64(asked) / modelLength.Seconds() / seeds
					}
				}
				fmt.Fprintf(&table, "%-16s%6d%7g  %14.2f%14.2f  %14.2f%14.2f%8.1f\n",
					trouble.name, nodes, limit, most[0], used[0], most[1], used[1], calls)
				if most[1] > 1 || trouble.name == "calm" && used[1] < 0.8 {
					t.Errorf("%s, %d nodes, limit %g: %.2f of the bound, %.2f used", trouble.name, nodes, limit, most[1], used[1])
				}
			}
		}
	}
	golden := filepath.Join("testdata", "one-holder-against-shares.txt")
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(golden, []byte(table.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	if got := table.String(); got != string(want) {
		t.Fatalf("the comparison has changed; rerun with -update and read the difference\n%s", got)
	}
}
