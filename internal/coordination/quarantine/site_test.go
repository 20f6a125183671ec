package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// modelCase is a site and the days that the model has it go through.
type modelCase struct {
	nodes, engines, badParts, seeds int
	// mean is the mean time between two requests with a bad part, lossy the share of digests that are lost.
	mean     time.Duration
	lossy    float64
	restarts bool
}

// newModelOf returns a model after ten seconds of sound requests, which go on until end.
func newModelOf(c modelCase, seed uint64, length time.Duration) (m *model, end time.Time) {
	m = newModel(seed, c.nodes, c.engines)
	m.lossy = c.lossy
	end = m.now.Add(length)
	m.soundLoad(end)
	m.runFor(10 * time.Second)
	for i := range c.badParts {
		m.badLoad(badParts+uint64(i), c.mean, end)
	}
	if c.restarts {
		m.every(3*time.Second, end, func() { *m.nodes[m.random.IntN(len(m.nodes))] = Registry{} })
	}
	return m, end
}

// TestBadPartsAreLearnedAndSoundOnesServed guards against requests with parts that crash engines being sent on and on, and
// against sound requests being refused beside them.
func TestBadPartsAreLearnedAndSoundOnesServed(t *testing.T) {
	for name, c := range map[string]modelCase{
		"one part":           {nodes: 6, engines: 12, badParts: 1, seeds: 20, mean: 500 * time.Millisecond},
		"two parts":          {nodes: 6, engines: 12, badParts: 2, seeds: 10, mean: 700 * time.Millisecond},
		"a rare part":        {nodes: 6, engines: 12, badParts: 1, seeds: 10, mean: 8 * time.Second},
		"digests lost":       {nodes: 6, engines: 12, badParts: 1, seeds: 10, mean: 500 * time.Millisecond, lossy: 0.3},
		"nodes restart":      {nodes: 6, engines: 12, badParts: 1, seeds: 10, mean: 500 * time.Millisecond, restarts: true},
		"relays, much lost":  {nodes: 60, engines: 60, badParts: 1, seeds: 2, mean: 500 * time.Millisecond, lossy: 0.2},
		"relays, two parts":  {nodes: 195, engines: 140, badParts: 2, seeds: 1, mean: 500 * time.Millisecond},
		"few, small engines": {nodes: 3, engines: 4, badParts: 1, seeds: 20, mean: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(c.seeds) {
				m, end := newModelOf(c, seed, 45*time.Second)
				m.runFor(end.Sub(m.now))
				refused, longest := m.refusedSound()
				t.Logf("seed %d: %d of %d sound refused, longest %v", seed, refused, m.sound, longest)
				if float64(refused) > modelMaxRefused*float64(m.sound) {
					t.Errorf("seed %d: too many sound requests refused", seed)
				}
				for i := range c.badParts {
					bad := badParts + uint64(i)
					t.Logf("seed %d, part %d: %d crashes, %d late", seed, bad, len(m.crashes[bad]), m.lateBad(bad))
					if m.lateBad(bad) > modelMaxBad {
						t.Errorf("seed %d: bad part sent too often", seed)
					}
				}
			}
		})
	}
}

// TestBadRequestIsLearnedAndSoundOnesServed guards against a request that comes again and crashes engines before it is
// answered being sent on and on, and against sound requests being refused beside it.
func TestBadRequestIsLearnedAndSoundOnesServed(t *testing.T) {
	for name, c := range map[string]modelCase{
		"small pool":         {nodes: 9, engines: 3, seeds: 10, mean: 700 * time.Millisecond},
		"usual":              {nodes: 6, engines: 12, seeds: 20, mean: 500 * time.Millisecond},
		"often":              {nodes: 6, engines: 12, seeds: 10, mean: 100 * time.Millisecond},
		"seldom":             {nodes: 6, engines: 12, seeds: 10, mean: 8 * time.Second},
		"two nodes":          {nodes: 2, engines: 4, seeds: 10, mean: 500 * time.Millisecond},
		"beside a bad part":  {nodes: 6, engines: 12, seeds: 10, badParts: 1, mean: 500 * time.Millisecond},
		"digests lost":       {nodes: 6, engines: 12, seeds: 10, mean: 500 * time.Millisecond, lossy: 0.3},
		"nodes restart":      {nodes: 6, engines: 12, seeds: 10, mean: 500 * time.Millisecond, restarts: true},
		"relays, much lost":  {nodes: 60, engines: 60, seeds: 2, mean: 500 * time.Millisecond, lossy: 0.2},
		"relays, large site": {nodes: 195, engines: 140, seeds: 1, mean: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(c.seeds) {
				m, end := newModelOf(c, seed, 45*time.Second)
				m.every(c.mean, end, m.repeatBad)
				m.runFor(end.Sub(m.now))
				refused, longest := m.refusedSound()
				t.Logf("seed %d: %d crashes, %d late; %d of %d sound refused, longest %v", seed, len(m.crashes[badRepeat]),
					m.lateBad(badRepeat), refused, m.sound, longest)
				if m.lateBad(badRepeat) > modelMaxBad {
					t.Errorf("seed %d: bad request sent too often", seed)
				}
				if float64(refused) > modelMaxRefused*float64(m.sound) {
					t.Errorf("seed %d: too many sound requests refused", seed)
				}
			}
		})
	}
}

// TestCrashesOfOtherCausesQuarantineNoPartForLong guards against parts being taken for the cause of crashes that they
// merely saw.
func TestCrashesOfOtherCausesQuarantineNoPartForLong(t *testing.T) {
	for name, crash := range map[string]func(m *model, end time.Time){
		"a quarter of the pool at once, three times": func(m *model, _ time.Time) {
			for i := range 3 {
				m.after(time.Duration(i)*12*time.Second, func() {
					for _, e := range m.engines[:len(m.engines)/4] {
						m.crash(e)
					}
				})
			}
		},
		"one after the other": func(m *model, _ time.Time) {
			for i, e := range m.engines {
				m.after(time.Duration(i)*time.Second, func() { m.crash(e) })
			}
		},
		"again and again": func(m *model, end time.Time) {
			m.every(500*time.Millisecond, end, func() { m.crash(m.engines[m.random.IntN(len(m.engines))]) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				m, end := newModelOf(modelCase{
					nodes:   6,
					engines: 12,
				}, seed, 45*time.Second)
				crash(m, end)
				m.runFor(end.Sub(m.now))
				refused, longest := m.refusedSound()
				t.Logf("seed %d: %d of %d sound refused, longest %v", seed, refused, m.sound, longest)
				if float64(refused) > modelMaxRefused*float64(m.sound) || longest > modelMaxUnjust {
					t.Errorf("seed %d: sound requests refused for too long", seed)
				}
			}
		})
	}
}

// TestPartThatIsSoundAgainIsServedAtAllNodes guards against a part staying quarantined, at some nodes or at all, after
// its cause is gone.
func TestPartThatIsSoundAgainIsServedAtAllNodes(t *testing.T) {
	for name, c := range map[string]modelCase{
		"full mesh": {nodes: 6, engines: 12, badParts: 1, seeds: 8, mean: 500 * time.Millisecond, lossy: 0.1},
		"relays":    {nodes: 60, engines: 60, badParts: 1, seeds: 1, mean: 500 * time.Millisecond, lossy: 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(c.seeds) {
				m, end := newModelOf(c, seed, 75*time.Second)
				m.runFor(10 * time.Second)
				m.cured = true
				m.runFor(baseLength + 10*time.Second)
				before := m.badRefused
				m.runFor(end.Sub(m.now))
				if len(m.crashes[badParts]) < minCrashes || m.badRefused > before {
					t.Errorf("seed %d: %d requests refused after the cure, %d crashes", seed, m.badRefused-before,
						len(m.crashes[badParts]))
				}
			}
		})
	}
}

// TestEvidenceReachesAllNodesBesideManyOtherParts guards against a part that crashes upstreams never being told to other
// nodes, since the digests are full of parts that ran beside it or came in the same prompt.
func TestEvidenceReachesAllNodesBesideManyOtherParts(t *testing.T) {
	const bad = 1 << 60
	for name, c := range map[string]struct{ beside, same int }{
		"alone":              {},
		"4 others":           {beside: 4},
		"9 others":           {beside: 9},
		"20 others":          {beside: 20},
		"a prompt of 63":     {same: 61},
		"both, a few others": {same: 20, beside: 4},
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(26, 20, 20)
			own, crashes := uint64(rareParts), 0
			newParts := func(count int) (ids []uint64) {
				for range count {
					own++
					ids = append(ids, own)
				}
				return ids
			}
			for i, node := range m.nodes {
				p := newPrompt(append(append([]uint64{firstPart}, newParts(c.same)...), bad, m.random.Uint64())...)
				for _, other := range m.nodes {
					other.Passed(newPrompt(firstPart, m.random.Uint64()), m.now)
				}
				if node.Check(p, firstRank, m.now) == nil {
					crashes++
					node.Crashed(m.engines[i].name, m.now, p)
					for range c.beside {
						beside := append(append([]uint64{firstPart}, newParts(2)...), m.random.Uint64())
						node.Crashed(m.engines[i].name, m.now, newPrompt(beside...))
					}
				}
				m.runFor(time.Second)
			}
			t.Logf("%d of %d crash", crashes, len(m.nodes))
			if crashes > 4 {
				t.Error("not learned by the other nodes")
			}
		})
	}
}

// TestProbesWithoutAResultAreFew guards against many nodes sending probes of a part, or one node several, while the first
// still waits at an upstream.
func TestProbesWithoutAResultAreFew(t *testing.T) {
	for _, nodes := range []int{1, 6, 16, 60} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			m := newModel(26, nodes, 1)
			p := newPrompt(7, 100)
			for _, node := range m.nodes {
				node.Crashed("e1", m.now.Add(-10*time.Second), p)
				node.Crashed("e2", m.now, p)
			}
			probes := 0
			for end := m.now.Add(baseLength + probeTime - time.Second); m.now.Before(end); m.runFor(100 * time.Millisecond) {
				for i, node := range m.nodes {
					if node.Check(p, m.rank(i), m.now) == nil && node.Sent(p, m.now) {
						probes++
					}
				}
			}
			t.Logf("%d probes", probes)
			if probes == 0 || probes > 3 {
				t.Error("not 1 to 3 probes without a result")
			}
		})
	}
}
