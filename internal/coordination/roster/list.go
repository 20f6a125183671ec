package roster

import (
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

// DefaultHold is how long entries that lapsed during an outage of the registry may take to come back after it; the users
// promise about two seconds.
const DefaultHold = 2500 * time.Millisecond

// List is the list of upstreams; it is not safe for concurrent use.
type List struct {
	// Hold is how long a removal waits after an outage of the registry.
	Hold time.Duration

	rows      map[string]wire.Machine
	removals  map[string]time.Time
	holdUntil time.Time
	away      bool
}

// Put takes in an upstream's entry and reports whether the list changed.
func (m *List) Put(row wire.Machine) bool {
	if m.rows == nil {
		m.rows = map[string]wire.Machine{}
	}
	delete(m.removals, row.Name)
	before, known := m.rows[row.Name]
	if known && same(before, row) {
		return false
	}
	m.rows[row.Name] = row
	return true
}

func same(a, b wire.Machine) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.AvailabilityZone == b.AvailabilityZone &&
		a.State == b.State && a.Slots == b.Slots && a.Boot == b.Boot
}

// Remove takes in that an entry is gone and reports whether the list changed; after an outage the upstream is kept for a
// while, since its entry may have lapsed only because the registry was away.
func (m *List) Remove(name string, now time.Time) bool {
	if _, known := m.rows[name]; !known {
		return false
	}
	// A removal that a peer passes on shows that the registry is back.
	m.RegistryAvailable(now)
	if now.Before(m.holdUntil) {
		if m.removals == nil {
			m.removals = map[string]time.Time{}
		}
		m.removals[name] = m.holdUntil
		return false
	}
	delete(m.rows, name)
	return true
}

// RetainOnly takes in the whole list: what it lacks is removed.
func (m *List) RetainOnly(names map[string]bool, now time.Time) bool {
	changed := false
	for name := range m.rows {
		if !names[name] && m.Remove(name, now) {
			changed = true
		}
	}
	return changed
}

// RegistryUnavailable notes that the registry can't be read.
func (m *List) RegistryUnavailable() { m.away = true }

// RegistryAvailable notes that the registry was read.
func (m *List) RegistryAvailable(now time.Time) {
	if m.away {
		m.away = false
		m.holdUntil = now.Add(m.Hold)
	}
}

// Tick carries out the removals whose wait is over and reports whether the list changed.
func (m *List) Tick(now time.Time) bool {
	changed := false
	for name, at := range m.removals {
		if m.away || now.Before(at) {
			continue
		}
		delete(m.removals, name)
		delete(m.rows, name)
		changed = true
	}
	return changed
}

// Upstreams returns the upstreams by name.
func (m *List) Upstreams() []wire.Machine {
	rows := make([]wire.Machine, 0, len(m.rows))
	for _, row := range m.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}
