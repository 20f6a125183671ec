package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

// Defaults of the machine's settings.
const (
	DefaultPeriod         = time.Second
	DefaultProbeTimeout   = 400 * time.Millisecond
	DefaultSuspectTimeout = 4 * time.Second
	DefaultForgetAfter    = 10 * time.Minute
	DefaultFanout         = 1
	DefaultMaxRows        = 6
	DefaultIndirectProbes = 2
)

// urgentProbes is the number of members that are told at once of one that left or died; maxUrgent bounds them in a tick.
const (
	urgentProbes = 2
	maxUrgent    = 4
)

const (
	// catchUpFactor is how many rows a node is told for each member that it lacks: which ones it lacks is not known.
	catchUpFactor = 4
	// knownEnough is the share of the members below which a node is told all, as when it has just started: with less, nodes
	// that start together miss the bound of 9 s.
	knownEnough = 0.95
)

// reviveRounds is the number of periods between probes of a member believed dead, which heal a cut.
const reviveRounds = 5

// Probe asks the transport to send a digest to a member and to report its answer, or none.
type Probe struct {
	Sequence int
	To       wire.Member
	Digest   wire.Digest
	// Via, when set, is the member asked to probe To on this node's behalf.
	Via *wire.Member
}

// Machine is the membership of one node; it is not safe for concurrent use.
type Machine struct {
	// Self is this node's row; its incarnation must be higher than that of any earlier start.
	Self wire.Member
	// Period is the time between probes.
	Period time.Duration
	// ProbeTimeout is the time after which an unanswered probe is tried through others.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time that a suspected member has to refute.
	SuspectTimeout time.Duration
	// ForgetAfter is how long a dead or left member is remembered.
	ForgetAfter time.Duration
	// Fanout is the number of members probed each period.
	Fanout int
	// MaxRows bounds the member rows of a digest.
	MaxRows int
	// Contacts are peer addresses to try while few members are known.
	Contacts []string
	// Random decides the order of probes.
	Random *rand.Rand

	members     map[string]*member
	names       []string
	order       []string
	nextProbe   int
	nextRow     int
	outstanding map[int]*probing
	sequence    int
	lastTick    time.Time
	lastRound   time.Time
	rounds      int
	version     int
	urgent      int
	changed     map[string]struct{}
}

type probing struct {
	target   string
	sent     time.Time
	indirect bool
}

// New returns a machine with the default settings.
func New(self wire.Member, contacts []string) *Machine {
	return &Machine{
		Self:           self,
		Period:         DefaultPeriod,
		ProbeTimeout:   DefaultProbeTimeout,
		SuspectTimeout: DefaultSuspectTimeout,
		ForgetAfter:    DefaultForgetAfter,
		Fanout:         DefaultFanout,
		MaxRows:        DefaultMaxRows,
		Contacts:       contacts,
		Random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Start makes the machine ready.
func (m *Machine) Start(now time.Time) {
	m.members = map[string]*member{}
	m.outstanding = map[int]*probing{}
	m.changed = map[string]struct{}{}
	m.lastTick = now
	m.lastRound = now.Add(-m.Period)
	m.Self.State = int(Alive)
}

// Version changes whenever the list of members or a state changes.
func (m *Machine) Version() int { return m.version }

// Members returns every known member with this node, by name.
func (m *Machine) Members() []wire.Member {
	rows := make([]wire.Member, 0, len(m.names)+1)
	rows = append(rows, m.Self)
	for _, name := range m.names {
		rows = append(rows, m.members[name].row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

// Seed adds members known from settings or from the platform's list; it never overrules what is known.
func (m *Machine) Seed(rows []wire.Member, now time.Time) {
	for _, row := range rows {
		if _, known := m.members[row.Name]; known || row.Name == m.Self.Name {
			continue
		}
		row.Incarnation = 0
		row.State = int(Alive)
		m.add(row, now)
		delete(m.changed, row.Name)
	}
}

// Leave announces that this node leaves; the announcement is final for its incarnation.
func (m *Machine) Leave() {
	m.Self.State = int(Left)
	m.urgent = maxUrgent
	m.version++
}

// Announce makes the next tick tell a few members at once, for news that is carried beside the members.
func (m *Machine) Announce() {
	m.urgent += urgentProbes
}

// Tick advances time and returns the probes to send.
func (m *Machine) Tick(now time.Time) []Probe {
	m.forgivePause(now)
	probes := m.checkOutstanding(now)
	m.expire(now)
	probes = append(probes, m.spread(now)...)
	if now.Sub(m.lastRound) < m.Period {
		return probes
	}
	m.lastRound = now
	for range m.Fanout {
		if target := m.nextTarget(); target != nil {
			probes = append(probes, m.probe(target.row, now))
		}
	}
	m.rounds++
	if m.rounds%reviveRounds == 0 || len(m.names) == 0 {
		probes = append(probes, m.revive(now)...)
	}
	return probes
}

// spread tells a few members at once of a final change, since its news should not wait for the next period.
func (m *Machine) spread(now time.Time) []Probe {
	var probes []Probe
	for range min(m.urgent, maxUrgent) {
		if target := m.nextTarget(); target != nil {
			probes = append(probes, m.probe(target.row, now))
		}
	}
	m.urgent = 0
	return probes
}

// revive probes one member believed dead, so that two sides of a healed cut find each other.
func (m *Machine) revive(now time.Time) []Probe {
	var dead []string
	for _, name := range m.names {
		if m.members[name].state() == Dead {
			dead = append(dead, name)
		}
	}
	var probes []Probe
	if len(dead) > 0 {
		target := m.members[dead[m.Random.IntN(len(dead))]]
		probes = append(probes, m.probe(target.row, now))
	}
	return append(probes, m.contact(now)...)
}

// contact probes one address from the settings that belongs to no live member.
func (m *Machine) contact(now time.Time) []Probe {
	known := map[string]bool{m.Self.Address: true}
	for _, member := range m.members {
		if member.state() < Dead {
			known[member.row.Address] = true
		}
	}
	var unknown []string
	for _, address := range m.Contacts {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	if len(unknown) == 0 {
		return nil
	}
	address := unknown[m.Random.IntN(len(unknown))]
	return []Probe{m.probe(wire.Member{Address: address}, now)}
}

// forgivePause drops the waits of a time in which this node itself did not run.
func (m *Machine) forgivePause(now time.Time) {
	pause := now.Sub(m.lastTick)
	m.lastTick = now
	if pause < 2*m.Period {
		return
	}
	clear(m.outstanding)
	for _, known := range m.members {
		if known.state() == Suspect {
			known.since = known.since.Add(pause)
		}
	}
}

// HandleDigest merges a digest that another member sent, and returns the digest to answer with.
func (m *Machine) HandleDigest(digest wire.Digest, now time.Time) wire.Digest {
	m.merge(digest, now)
	answer := m.Digest()
	answer.Members = append(answer.Members, m.catchUp(len(m.names)-digest.Known)...)
	// A member that has started anew learns at once what is still believed of its earlier start, and overrules it.
	if known := m.members[digest.From.Name]; known != nil && newer(known.row, digest.From) && known.state() != Alive {
		answer.Members = append([]wire.Member{known.row}, answer.Members...)
	}
	return answer
}

// catchUp returns rows for a node that knows so many members fewer than this one: all, or those that were learned last.
func (m *Machine) catchUp(lack int) []wire.Member {
	if lack <= 0 {
		return nil
	}
	alive := slices.DeleteFunc(slices.Clone(m.names), func(name string) bool { return m.members[name].state() != Alive })
	if float64(lack) < (1-knownEnough)*float64(len(m.names)) {
		slices.SortStableFunc(alive, func(a, b string) int { return m.members[b].since.Compare(m.members[a].since) })
		alive = alive[:min(len(alive), catchUpFactor*lack)]
	}
	rows := make([]wire.Member, 0, len(alive))
	for _, name := range alive {
		rows = append(rows, m.members[name].row)
	}
	return rows
}

// HandleAnswer merges the answer to a probe.
func (m *Machine) HandleAnswer(sequence int, digest wire.Digest, now time.Time) {
	if wait := m.outstanding[sequence]; wait != nil && wait.target != "" && wait.target != digest.From.Name {
		m.remove(wait.target)
	}
	delete(m.outstanding, sequence)
	m.merge(digest, now)
}

// HandleIndirectAnswer ends the wait for a member that another one reached.
func (m *Machine) HandleIndirectAnswer(sequence int, alive bool) {
	if alive {
		delete(m.outstanding, sequence)
	}
}
