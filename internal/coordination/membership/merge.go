package membership

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

func (m *Machine) merge(digest wire.Digest, now time.Time) {
	m.mergeRow(digest.From, now)
	for _, row := range digest.Members {
		m.mergeRow(row, now)
	}
}

// mergeRow applies a received row if it overrides the known one. Rows without a name or with an invalid state are
// ignored.
func (m *Machine) mergeRow(row wire.Member, now time.Time) {
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
	if overrides(row, known.row) {
		m.update(known, row, now)
	}
}

// refute raises this node's incarnation if a row declares this node suspect, dead or left while it is running.
func (m *Machine) refute(row wire.Member) {
	if State(m.Self.State) == Left || row.Incarnation < m.Self.Incarnation || State(row.State) == Alive {
		return
	}
	m.Self.Incarnation = row.Incarnation + 1
	m.version++
}

// add adds a member, unless there are MaxMembers already.
func (m *Machine) add(row wire.Member, now time.Time) {
	if len(m.members) >= MaxMembers {
		return
	}
	m.members[row.Name] = &member{
		row:   row,
		since: now,
	}
	at := sort.SearchStrings(m.names, row.Name)
	m.names = append(m.names, "")
	copy(m.names[at+1:], m.names[at:])
	m.names[at] = row.Name
	// The random position prevents nodes from probing the members in the same order at the same time.
	m.probeOrder = slices.Insert(m.probeOrder, m.Random.IntN(len(m.probeOrder)+1), row.Name)
	m.changed[row.Name] = struct{}{}
	m.version++
}

// update replaces the row of a known member; a row without an address keeps the known addresses, zone and region.
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
			m.urgentProbes += urgentProbesPerChange
		}
	}
	// The first answer of a seeded member, which has incarnation 0, is not a change to spread.
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

// maxSends returns how many digests carry a change so that it reaches every member with high probability.
func (m *Machine) maxSends() int {
	const retransmitFactor = 3
	return retransmitFactor * (bits.Len(uint(len(m.names))) + 1)
}
