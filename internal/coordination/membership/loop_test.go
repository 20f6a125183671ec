package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoongw/internal/protocol/wire"
)

const tick = 100 * time.Millisecond

// loop drives machines with a fake clock; messages arrive at once, unless the link is cut or an end is paused.
type loop struct {
	now    time.Time
	nodes  []*Machine
	byName map[string]*Machine
	paused map[string]bool
	cut    func(from, to string) bool
	bytes  func(digest wire.Digest)
	// news is the revision known to each node, which travels beside the digests; eager makes those who learn tell on at once.
	news  map[string]int
	eager bool
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

// newLoop returns machines that know each other from the platform's list.
func newLoop(size int) *loop {
	l := &loop{
		now:    time.Unix(1_700_000_000, 0),
		byName: map[string]*Machine{},
		paused: map[string]bool{},
		cut:    func(string, string) bool { return false },
		bytes:  func(wire.Digest) {},
		news:   map[string]int{},
	}
	var rows []wire.Member
	for i := range size {
		m := newMachine(i, l.now)
		l.nodes = append(l.nodes, m)
		l.byName[m.Self.Name] = m
		rows = append(rows, m.Self)
	}
	for _, m := range l.nodes {
		m.Seed(rows, l.now)
	}
	return l
}

func (l *loop) reaches(from, to string) bool {
	return l.byName[to] != nil && !l.paused[to] && !l.cut(from, to) && !l.cut(to, from)
}

// nameOf returns the name of the machine at an address.
func (l *loop) nameOf(address string) string {
	for _, m := range l.nodes {
		if m.Self.Address == address {
			return m.Self.Name
		}
	}
	return ""
}

func (l *loop) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(tick)
		for _, m := range l.nodes {
			if l.paused[m.Self.Name] {
				continue
			}
			for _, probe := range m.Tick(l.now) {
				l.deliver(m, probe)
			}
		}
	}
}

func (l *loop) deliver(m *Machine, probe Probe) {
	l.bytes(probe.Digest)
	from := m.Self.Name
	if probe.Via != nil {
		alive := l.reaches(from, probe.Via.Name) && l.reaches(probe.Via.Name, probe.To.Name)
		if alive {
			l.byName[probe.To.Name].HandleDigest(probe.Digest, l.now)
		}
		m.HandleIndirectAnswer(probe.Sequence, alive)
		return
	}
	if probe.To.Name == "" {
		probe.To.Name = l.nameOf(probe.To.Address)
	}
	if !l.reaches(from, probe.To.Name) {
		return
	}
	l.tell(from, probe.To.Name)
	l.tell(probe.To.Name, from)
	answer := l.byName[probe.To.Name].HandleDigest(probe.Digest, l.now)
	l.bytes(answer)
	m.HandleAnswer(probe.Sequence, answer, l.now)
}

func (l *loop) tell(from, to string) {
	if l.news[from] > l.news[to] {
		l.publish(to, l.news[from])
	}
}

func (l *loop) publish(name string, revision int) {
	l.news[name] = revision
	if l.eager {
		l.byName[name].Announce()
	}
}

// believed counts the running nodes that hold a member to be in a state.
func (l *loop) believed(name string, state State) int {
	count := 0
	for _, m := range l.nodes {
		if m.Self.Name == name || l.paused[m.Self.Name] {
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

// until runs until a condition holds and returns the time it took.
func (l *loop) until(t testing.TB, limit time.Duration, done func() bool) time.Duration {
	t.Helper()
	begin := l.now
	for !done() {
		if l.now.Sub(begin) > limit {
			t.Fatalf("not within %s", limit)
		}
		l.run(tick)
	}
	return l.now.Sub(begin)
}
