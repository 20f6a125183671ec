package membership

import (
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

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
		if len(probes) == DefaultIndirectProbes {
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
