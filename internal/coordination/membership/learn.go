package membership

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

func (m *Machine) merge(digest wire.Digest, now time.Time) {
	m.learn(digest.From, now)
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
