package membership

import (
	"math/bits"
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
	DefaultIndirect       = 2
)

// urgentProbes is the number of members that are told at once of one that left or died; maxUrgent bounds them in a tick.
const (
	urgentProbes = 2
	maxUrgent    = 4
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

func (m *Machine) checkOutstanding(now time.Time) []Probe {
	var probes []Probe
	for _, sequence := range m.sortedOutstanding() {
		wait := m.outstanding[sequence]
		if now.Sub(wait.sent) < m.ProbeTimeout {
			continue
		}
		delete(m.outstanding, sequence)
		target := m.members[wait.target]
		if target == nil {
			continue
		}
		if wait.indirect {
			m.suspect(target, now)
			continue
		}
		probes = append(probes, m.indirect(target.row, now)...)
	}
	return probes
}

func (m *Machine) sortedOutstanding() []int {
	list := make([]int, 0, len(m.outstanding))
	for sequence := range m.outstanding {
		list = append(list, sequence)
	}
	sort.Ints(list)
	return list
}

// indirect asks others to probe the target; all of them share one wait, so that one answer is enough.
func (m *Machine) indirect(target wire.Member, now time.Time) []Probe {
	m.sequence++
	m.outstanding[m.sequence] = &probing{
		target:   target.Name,
		sent:     now.Add(m.ProbeTimeout),
		indirect: true,
	}
	var probes []Probe
	for _, index := range m.Random.Perm(len(m.names)) {
		helper := m.members[m.names[index]]
		if helper.state() != Alive || helper.row.Name == target.Name {
			continue
		}
		via := helper.row
		probes = append(probes, Probe{
			Sequence: m.sequence,
			To:       target,
			Digest:   m.digestFor(target),
			Via:      &via,
		})
		if len(probes) == DefaultIndirect {
			break
		}
	}
	return probes
}

func (m *Machine) probe(to wire.Member, now time.Time) Probe {
	m.sequence++
	m.outstanding[m.sequence] = &probing{
		target: to.Name,
		sent:   now,
	}
	return Probe{
		Sequence: m.sequence,
		To:       to,
		Digest:   m.digestFor(to),
	}
}

func (m *Machine) suspect(target *member, now time.Time) {
	if target.state() != Alive {
		return
	}
	row := target.row
	row.State = int(Suspect)
	m.update(target, row, now)
}

func (m *Machine) expire(now time.Time) {
	for _, name := range append([]string{}, m.names...) {
		known := m.members[name]
		age := now.Sub(known.since)
		switch {
		case known.state() == Suspect && age >= m.SuspectTimeout:
			row := known.row
			row.State = int(Dead)
			m.update(known, row, now)
		case known.state() >= Dead && age >= m.ForgetAfter:
			m.remove(name)
		}
	}
}

// nextTarget walks a shuffled list, so that every member is probed within one pass.
func (m *Machine) nextTarget() *member {
	for range 2 {
		for m.nextProbe < len(m.order) {
			target := m.members[m.order[m.nextProbe]]
			m.nextProbe++
			if target != nil && target.state() < Dead {
				return target
			}
		}
		m.order = append(m.order[:0], m.names...)
		m.Random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		m.nextProbe = 0
	}
	return nil
}

// Received merges a digest that another member sent, and returns the digest to answer with.
func (m *Machine) Received(digest wire.Digest, now time.Time) wire.Digest {
	m.merge(digest, now)
	return m.Digest()
}

// Answered merges the answer to a probe.
func (m *Machine) Answered(sequence int, digest wire.Digest, now time.Time) {
	if wait := m.outstanding[sequence]; wait != nil && wait.target != "" && wait.target != digest.From.Name {
		m.remove(wait.target)
	}
	delete(m.outstanding, sequence)
	m.merge(digest, now)
}

// IndirectAnswered ends the wait for a member that another one reached.
func (m *Machine) IndirectAnswered(sequence int, alive bool) {
	if alive {
		delete(m.outstanding, sequence)
	}
}

func (m *Machine) merge(digest wire.Digest, now time.Time) {
	m.learn(digest.From, now)
	if sender := m.members[digest.From.Name]; sender != nil {
		sender.lastHeard = now
	}
	for _, row := range digest.Members {
		m.learn(row, now)
	}
}

func (m *Machine) learn(row wire.Member, now time.Time) {
	if row.Name == "" || row.State < int(Alive) || row.State > int(Left) {
		return
	}
	if row.Name == m.Self.Name {
		m.refute(row)
		return
	}
	known := m.members[row.Name]
	if known == nil {
		m.add(row, now)
		return
	}
	if newer(row, known.row) {
		m.update(known, row, now)
	}
}

func (m *Machine) refute(row wire.Member) {
	if State(m.Self.State) == Left || row.Incarnation < m.Self.Incarnation || State(row.State) == Alive {
		return
	}
	m.Self.Incarnation = row.Incarnation + 1
	m.version++
}

func (m *Machine) add(row wire.Member, now time.Time) {
	m.members[row.Name] = &member{
		row:   row,
		since: now,
	}
	at := sort.SearchStrings(m.names, row.Name)
	m.names = append(m.names, "")
	copy(m.names[at+1:], m.names[at:])
	m.names[at] = row.Name
	// A random place keeps the nodes from walking the same list in step.
	m.order = slices.Insert(m.order, m.Random.IntN(len(m.order)+1), row.Name)
	m.changed[row.Name] = struct{}{}
	m.version++
}

func (m *Machine) update(known *member, row wire.Member, now time.Time) {
	if row.Address == "" {
		row.Address = known.row.Address
		row.CallerAddress = known.row.CallerAddress
		row.AvailabilityZone = known.row.AvailabilityZone
		row.Region = known.row.Region
	}
	if row.State != known.row.State {
		known.since = now
		m.version++
		if State(row.State) >= Dead {
			m.urgent += urgentProbes
		}
	}
	// That a seeded member has answered for the first time is no news.
	if known.row.Incarnation != 0 || State(row.State) != Alive {
		known.sends = 0
		m.changed[row.Name] = struct{}{}
	}
	known.row = row
}

func (m *Machine) remove(name string) {
	if m.members[name] == nil {
		return
	}
	delete(m.members, name)
	delete(m.changed, name)
	at := sort.SearchStrings(m.names, name)
	m.names = append(m.names[:at], m.names[at+1:]...)
	m.version++
}

// maxSends is how often a change is repeated so that it reaches every member with high probability.
func (m *Machine) maxSends() int {
	const factor = 3
	return factor * (bits.Len(uint(len(m.names))) + 1)
}
