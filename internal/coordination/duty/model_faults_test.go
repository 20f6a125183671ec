package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// cut sets a flag for a while.
func (m *model) cut(flag *bool) {
	*flag = true
	m.clock.After(m.untilQuiet(10*time.Second), func() { *flag = false })
}

// holderOr returns the node that holds the lease, or any node.
func (m *model) holderOr() *modelNode {
	for _, n := range m.nodes {
		if n.held() {
			return n
		}
	}
	return m.nodes[m.random.IntN(len(m.nodes))]
}

func (n *modelNode) held() bool {
	if !n.alive || n.frozen {
		return false
	}
	_, held := n.election.Held(n.now())
	return held
}

// injectFaults begins one to three faults, half of them at the holder.
func (m *model) injectFaults() {
	n := m.nodes[m.random.IntN(len(m.nodes))]
	if m.chance(0.5) {
		n = m.holderOr()
	}
	m.injectFault(n)
	for range 2 {
		if m.chance(0.4) {
			m.clock.After(m.untilQuiet(1500*time.Millisecond), func() { m.injectFault(n) })
		}
	}
}

func (m *model) injectFault(n *modelNode) {
	cuts := []*bool{
		&n.cutTo, &n.cutTo, &n.cutFrom, &n.cutToAPI, &n.cutFromAPI, &n.cutPeers, &m.store.down, &m.store.slow,
	}
	switch fault := m.random.IntN(10 + len(cuts)); fault {
	case 0, 1:
		n.kill()
	case 2:
		for _, each := range m.nodes {
			each.kill()
		}
	case 3:
		for _, each := range m.nodes {
			if each != n {
				each.killFor(m.upTo(time.Second))
			}
		}
	case 4:
		n.freeze(m.untilQuiet(8*time.Second), false)
	case 5:
		if m.clock.Now().Sub(n.steppedBack) > modelLease {
			n.freeze(m.untilQuiet(8*time.Second), true)
		}
	case 6:
		n.stepClock()
	case 7, 8:
		m.restore()
	case 9:
		if n.alive && !n.frozen {
			n.election.Close(n.now())
			m.clock.After(m.untilQuiet(2*time.Second), func() { n.killFor(m.upTo(time.Second)) })
		}
	default:
		m.cut(cuts[fault-10])
	}
}

// restore brings back an older copy of the store.
func (m *model) restore() {
	if len(m.store.snapshots) == 0 {
		return
	}
	era := m.store.view.Era + 1
	m.store.view = m.store.snapshots[m.random.IntN(len(m.store.snapshots))]
	m.store.view.Era = era
	m.restores++
}

// run runs the site with faults and then without, and returns when a node held the lease after the last fault.
func (m *model) run() (after time.Duration, held bool) {
	for at := time.Duration(0); at < faultTime; at += 50*time.Millisecond + m.upTo(6*time.Second) {
		m.clock.At(m.began.Add(at), m.injectFaults)
	}
	for at := time.Duration(0); at < faultTime; at += m.upTo(10 * time.Second) {
		m.clock.At(m.began.Add(at), func() { m.store.snapshots = append(m.store.snapshots, m.store.view) })
	}
	m.clock.Run(m.began.Add(faultTime))
	for after = 0; after < 2*holderLimit; after += modelTick {
		m.clock.Run(m.began.Add(faultTime + after))
		for _, n := range m.nodes {
			if n.held() {
				return after, true
			}
		}
	}
	return after, false
}

// modelRun is the size of a site and the number of seeds that it is run with.
var modelRuns = []struct{ nodes, seeds int }{
	{nodes: 2, seeds: 600},
	{nodes: 3, seeds: 600},
	{nodes: 9, seeds: 100},
	{nodes: 66, seeds: 6},
	{nodes: 300, seeds: 2},
}

// TestDutiesHaveOneHolder guards against two nodes that use one number, nodes that act in turns within the lease, numbers
// that fall, and a site without a holder 10 s after its last fault.
func TestDutiesHaveOneHolder(t *testing.T) {
	acts, numbers, refused, restores := 0, 0, 0, 0
	slowest := time.Duration(0)
	for _, run := range modelRuns {
		for seed := range run.seeds {
			m := newModel(uint64(seed), run.nodes, variant{silent: seed%2 == 1})
			after, held := m.run()
			for _, fault := range m.faults {
				t.Errorf("%d nodes, seed %d: %s", run.nodes, seed, fault)
			}
			if !held || after > holderLimit {
				t.Errorf("%d nodes, seed %d: no holder within %v of the last fault (%v, %v)", run.nodes, seed, holderLimit, after, held)
			}
			acts += len(m.acts)
			numbers += len(m.senders)
			refused += m.refused
			restores += m.restores
			slowest = max(slowest, after)
			if t.Failed() && len(m.faults) > 0 {
				t.FailNow()
			}
		}
	}
	t.Logf("%d calls with %d numbers, %d refused, %d restores, a holder %v after the last fault at the latest", acts, numbers,
		refused, restores, slowest)
}

// TestModelCheckFindsWrongVariants guards against a model check that passes whatever the election does: it must find
// faults in nodes that claim without waiting and in a store that ignores the condition of an append.
func TestModelCheckFindsWrongVariants(t *testing.T) {
	is := is.New(t)
	for _, v := range []variant{
		{noWait: true, unconditional: true},
		{noWait: true},
		{unconditional: true},
	} {
		found := 0
		for seed := range 100 {
			m := newModel(uint64(seed), 3, v)
			m.run()
			if len(m.faults) > 0 {
				found++
			}
		}
		t.Logf("%+v: faults found with %d of 100 seeds", v, found)
		is.True(found > 0)
	}
}
