package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoongw/internal/protocol/wire"
)

const tick = 100 * time.Millisecond

// cluster runs machines with a fake clock; messages arrive at once, unless the link is blocked or an end is paused.
type cluster struct {
	now      time.Time
	nodes    []*Machine
	byName   map[string]*Machine
	paused   map[string]bool
	blocked  func(from, to string) bool
	onDigest func(digest wire.Digest)
	// revisions is the revision known to each node, which is exchanged along with digests. With announceOnChange set, a
	// node that receives a newer one calls Announce.
	revisions        map[string]int
	announceOnChange bool
}

func nodeName(i int) string { return fmt.Sprintf("entry-%03d", i) }

func newMachine(i int, now time.Time) *Machine {
	m := &Machine{
		Self: wire.Member{
			Name:             nodeName(i),
			Incarnation:      1_700_000_000_000,
			Address:          fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			CallerAddress:    fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%6),
			Region:           fmt.Sprintf("region-%d", i%2),
		},
		Period:         DefaultPeriod,
		ProbeTimeout:   DefaultProbeTimeout,
		SuspectTimeout: DefaultSuspectTimeout,
		ForgetAfter:    DefaultForgetAfter,
		Fanout:         DefaultFanout,
		MaxRows:        DefaultMaxRows,
		Random:         rand.New(rand.NewPCG(uint64(i), 7)),
	}
	m.Start(now)
	return m
}

// newCluster returns machines that are seeded with each other, as from the platform's list.
func newCluster(size int) *cluster {
	c := &cluster{
		now:       time.Unix(1_700_000_000, 0),
		byName:    map[string]*Machine{},
		paused:    map[string]bool{},
		blocked:   func(string, string) bool { return false },
		onDigest:  func(wire.Digest) {},
		revisions: map[string]int{},
	}
	var rows []wire.Member
	for i := range size {
		m := newMachine(i, c.now)
		c.nodes = append(c.nodes, m)
		c.byName[m.Self.Name] = m
		rows = append(rows, m.Self)
	}
	for _, m := range c.nodes {
		m.Seed(rows, c.now)
	}
	return c
}

func (c *cluster) reachable(from, to string) bool {
	return c.byName[to] != nil && !c.paused[to] && !c.blocked(from, to) && !c.blocked(to, from)
}

// nameOf returns the name of the machine at an address.
func (c *cluster) nameOf(address string) string {
	for _, m := range c.nodes {
		if m.Self.Address == address {
			return m.Self.Name
		}
	}
	return ""
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tick)
		for _, m := range c.nodes {
			if c.paused[m.Self.Name] {
				continue
			}
			for _, probe := range m.Tick(c.now) {
				c.deliver(m, probe)
			}
		}
	}
}

func (c *cluster) deliver(m *Machine, probe Probe) {
	c.onDigest(probe.Digest)
	from := m.Self.Name
	if probe.Via != nil {
		alive := c.reachable(from, probe.Via.Name) && c.reachable(probe.Via.Name, probe.To.Name)
		if alive {
			c.byName[probe.To.Name].HandleDigest(probe.Digest, c.now)
		}
		m.HandleIndirectAnswer(probe.Sequence, alive)
		return
	}
	if probe.To.Name == "" {
		probe.To.Name = c.nameOf(probe.To.Address)
	}
	if !c.reachable(from, probe.To.Name) {
		return
	}
	c.sendRevision(from, probe.To.Name)
	c.sendRevision(probe.To.Name, from)
	answer := c.byName[probe.To.Name].HandleDigest(probe.Digest, c.now)
	c.onDigest(answer)
	m.HandleAnswer(probe.Sequence, answer, c.now)
}

func (c *cluster) sendRevision(from, to string) {
	if c.revisions[from] > c.revisions[to] {
		c.setRevision(to, c.revisions[from])
	}
}

func (c *cluster) setRevision(name string, revision int) {
	c.revisions[name] = revision
	if c.announceOnChange {
		c.byName[name].Announce()
	}
}

// countBelieving counts the running nodes, other than the member itself, that believe a member to be in a state.
func (c *cluster) countBelieving(name string, state State) int {
	count := 0
	for _, m := range c.nodes {
		if m.Self.Name == name || c.paused[m.Self.Name] {
			continue
		}
		for _, row := range m.Members() {
			if row.Name == name && State(row.State) == state {
				count++
			}
		}
	}
	return count
}

// runUntil runs the cluster until a condition holds and returns the simulated time that it took.
func (c *cluster) runUntil(t testing.TB, limit time.Duration, done func() bool) time.Duration {
	t.Helper()
	begin := c.now
	for !done() {
		if c.now.Sub(begin) > limit {
			t.Fatalf("condition not met within %s", limit)
		}
		c.run(tick)
	}
	return c.now.Sub(begin)
}
