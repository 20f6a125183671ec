package membership

import (
	"sort"

	"lagoongw/internal/protocol/wire"
)

// Digest returns this node's row, the changed rows that were sent least often and a rotating window of the other rows.
func (m *Machine) Digest() wire.Digest {
	digest := wire.Digest{
		From:  m.Self,
		Known: len(m.names),
	}
	included := map[string]bool{}
	for _, name := range m.changedLeastSentFirst() {
		if len(digest.Members) == m.MaxRows {
			break
		}
		known := m.members[name]
		known.sends++
		if known.sends >= m.maxSends() {
			delete(m.changed, name)
		}
		included[name] = true
		digest.Members = append(digest.Members, known.row)
	}
	m.appendWindow(&digest, included)
	return digest
}

// appendWindow fills the digest up to MaxRows with the next rows of the rotating window, and always adds at least one.
func (m *Machine) appendWindow(digest *wire.Digest, included map[string]bool) {
	const minWindow = 1
	remaining := max(m.MaxRows-len(digest.Members), minWindow)
	for range m.names {
		if remaining == 0 {
			return
		}
		m.nextRow = (m.nextRow + 1) % len(m.names)
		name := m.names[m.nextRow]
		if included[name] {
			continue
		}
		digest.Members = append(digest.Members, m.members[name].row)
		remaining--
	}
}

// changedLeastSentFirst returns the names of the changed members, the least sent first.
func (m *Machine) changedLeastSentFirst() []string {
	names := make([]string, 0, len(m.changed))
	for name := range m.changed {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := m.members[names[i]], m.members[names[j]]
		if a.sends != b.sends {
			return a.sends < b.sends
		}
		return names[i] < names[j]
	})
	return names
}

// digestFor returns a digest for a member; if the member is not believed alive, its own row comes first, so that the
// member can refute the state in it.
func (m *Machine) digestFor(to wire.Member) wire.Digest {
	digest := m.Digest()
	if State(to.State) != Alive {
		digest.Members = append([]wire.Member{to}, digest.Members...)
	}
	return digest
}
