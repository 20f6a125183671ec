package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

// Defaults of the machine's settings, and the number of members that are asked to probe a target indirectly.
const (
	DefaultPeriod         = time.Second
	DefaultProbeTimeout   = 400 * time.Millisecond
	DefaultSuspectTimeout = 4 * time.Second
	DefaultForgetAfter    = 10 * time.Minute
	DefaultFanout         = 1
	DefaultMaxRows        = 6
	DefaultIndirectProbes = 2
)

const (
	// urgentProbesPerChange is the number of extra probes in the next tick for each member that left or died, and for each
	// call of Announce.
	urgentProbesPerChange = 2
	// maxUrgentProbesPerTick bounds the extra probes of one tick.
	maxUrgentProbesPerTick = 4
)

const (
	// catchUpFactor is the number of rows sent for each member that a node lacks, since it is unknown which ones it lacks.
	catchUpFactor = 4
	// fullSyncBelow is the share of known members below which a node is sent all live rows, as after its start. With a
	// lower share, nodes that start together exceed the 9 s allowed for a change to reach all nodes.
	fullSyncBelow = 0.95
)

// MaxMembers is the largest number of other members that a node knows. Further ones are ignored until some are forgotten.
const MaxMembers = 4096

// reconnectRounds is the number of periods between probes of a dead member and of a contact, which rejoin a cluster
// after a partition.
const reconnectRounds = 5

// Probe is a digest that the transport sends to a member; an answer goes to HandleAnswer or HandleIndirectAnswer.
type Probe struct {
	Sequence int
	To       wire.Member
	Digest   wire.Digest
	// Via, if set, is the proxy: the member that is asked to probe To on behalf of this node.
	Via *wire.Member
}

// Machine is the membership state machine of one node; it is not safe for concurrent use.
type Machine struct {
	// Self is this node's row; its incarnation must be higher than that of any earlier start of the node.
	Self wire.Member
	// Period is the time between probes.
	Period time.Duration
	// ProbeTimeout is the time after which an unanswered probe is repeated through other members.
	ProbeTimeout time.Duration
	// SuspectTimeout is the time that a suspected member has to refute before it is declared dead.
	SuspectTimeout time.Duration
	// ForgetAfter is the time after which a dead or left member is removed.
	ForgetAfter time.Duration
	// Fanout is the number of members probed each period.
	Fanout int
	// MaxRows is the number of member rows in a digest. One row of the rotating window, a row that the receiver is to
	// refute and catch-up rows may exceed it.
	MaxRows int
	// Contacts are peer addresses from the settings. One that belongs to no alive or suspect member is probed every
	// reconnectRounds periods, or each period while no other member is known.
	Contacts []string
	// Random shuffles the order of probes and picks proxies, dead members and contacts.
	Random *rand.Rand

	members map[string]*member
	// names are the names of all members, sorted.
	names      []string
	probeOrder []string
	// nextProbe indexes probeOrder; nextRow indexes names for the rotating window of digests.
	nextProbe int
	nextRow   int
	// outstanding holds the probes without an answer yet, by sequence number; sequence is the last number used.
	outstanding map[int]*outstandingProbe
	sequence    int
	lastTick    time.Time
	// rounds counts the periods in which regular probes were sent; the last began at lastRound.
	lastRound time.Time
	rounds    int
	version   int
	// urgentProbes is the number of extra probes that the next tick sends, before the limit of one tick.
	urgentProbes int
	// changed holds the names of members with a change that digests still have to spread.
	changed map[string]struct{}
}

// outstandingProbe is a probe without an answer yet. Its timeout counts from timeoutStart, which for an indirect probe
// is later than the time at which it was sent.
type outstandingProbe struct {
	target       string
	timeoutStart time.Time
	indirect     bool
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

// Start initializes the machine; it is called before any other method.
func (m *Machine) Start(now time.Time) {
	m.members = map[string]*member{}
	m.outstanding = map[int]*outstandingProbe{}
	m.changed = map[string]struct{}{}
	m.lastTick = now
	m.lastRound = now.Add(-m.Period)
	m.Self.State = int(Alive)
}

// Version returns a number that grows whenever the list of members or a member's state changes.
func (m *Machine) Version() int { return m.version }

// Members returns the rows of this node and of every known member, sorted by name.
func (m *Machine) Members() []wire.Member {
	rows := make([]wire.Member, 0, len(m.names)+1)
	rows = append(rows, m.Self)
	for _, name := range m.names {
		rows = append(rows, m.members[name].row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

// Seed adds members from the settings or the platform's list as alive at incarnation 0. Known members stay unchanged.
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

// Leave marks this node as left, which is final for its incarnation, and makes the next tick send extra probes.
func (m *Machine) Leave() {
	m.Self.State = int(Left)
	m.urgentProbes = maxUrgentProbesPerTick
	m.version++
}

// Announce makes the next tick send extra probes, for changed data that digests carry besides the member rows.
func (m *Machine) Announce() {
	m.urgentProbes += urgentProbesPerChange
}

// Tick advances time and returns the probes to send.
func (m *Machine) Tick(now time.Time) []Probe {
	m.discountPause(now)
	probes := m.expireProbes(now)
	m.expireMembers(now)
	probes = append(probes, m.takeUrgentProbes(now)...)
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
	if m.rounds%reconnectRounds == 0 || len(m.names) == 0 {
		probes = append(probes, m.reconnectProbes(now)...)
	}
	return probes
}

// takeUrgentProbes returns the extra probes for urgent changes, which should not wait for the next period, and resets
// their number.
func (m *Machine) takeUrgentProbes(now time.Time) []Probe {
	var probes []Probe
	for range min(m.urgentProbes, maxUrgentProbesPerTick) {
		if target := m.nextTarget(); target != nil {
			probes = append(probes, m.probe(target.row, now))
		}
	}
	m.urgentProbes = 0
	return probes
}

// reconnectProbes returns probes of one dead member and one contact, so that the sides of a healed partition find each
// other.
func (m *Machine) reconnectProbes(now time.Time) []Probe {
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
	return append(probes, m.contactProbe(now)...)
}

// contactProbe returns a probe of one contact address that belongs to no alive or suspect member, if there is one.
func (m *Machine) contactProbe(now time.Time) []Probe {
	inUse := map[string]bool{m.Self.Address: true}
	for _, member := range m.members {
		if member.state() < Dead {
			inUse[member.row.Address] = true
		}
	}
	var candidates []string
	for _, address := range m.Contacts {
		if !inUse[address] {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	address := candidates[m.Random.IntN(len(candidates))]
	return []Probe{m.probe(wire.Member{Address: address}, now)}
}

// discountPause drops outstanding probes and extends suspicions after a pause of this node itself, in which it could
// receive no answer.
func (m *Machine) discountPause(now time.Time) {
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

// HandleDigest merges a digest from another member and returns the digest to answer with.
func (m *Machine) HandleDigest(digest wire.Digest, now time.Time) wire.Digest {
	m.merge(digest, now)
	answer := m.Digest()
	answer.Members = append(answer.Members, m.catchUp(len(m.names)-digest.Known)...)
	// A restarted member is sent the row that remains of its earlier start, so that it can refute it at once.
	if known := m.members[digest.From.Name]; known != nil && overrides(known.row, digest.From) && known.state() != Alive {
		answer.Members = append([]wire.Member{known.row}, answer.Members...)
	}
	return answer
}

// catchUp returns rows of live members for a node that lacks the given number of them: all, or those that changed last.
func (m *Machine) catchUp(missing int) []wire.Member {
	if missing <= 0 {
		return nil
	}
	alive := slices.DeleteFunc(slices.Clone(m.names), func(name string) bool { return m.members[name].state() != Alive })
	if float64(missing) < (1-fullSyncBelow)*float64(len(m.names)) {
		slices.SortStableFunc(alive, func(a, b string) int { return m.members[b].since.Compare(m.members[a].since) })
		alive = alive[:min(len(alive), catchUpFactor*missing)]
	}
	rows := make([]wire.Member, 0, len(alive))
	for _, name := range alive {
		rows = append(rows, m.members[name].row)
	}
	return rows
}

// HandleAnswer merges the answer to a probe. If a node of another name answered at its address, the probed member
// is removed.
func (m *Machine) HandleAnswer(sequence int, digest wire.Digest, now time.Time) {
	if probe := m.outstanding[sequence]; probe != nil && probe.target != "" && probe.target != digest.From.Name {
		m.remove(probe.target)
	}
	delete(m.outstanding, sequence)
	m.merge(digest, now)
}

// HandleIndirectAnswer ends an indirect probe if the proxy reached its target.
func (m *Machine) HandleIndirectAnswer(sequence int, alive bool) {
	if alive {
		delete(m.outstanding, sequence)
	}
}
