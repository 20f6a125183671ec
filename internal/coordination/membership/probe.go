package membership

import (
	"sort"
	"time"

	"lagoongw/internal/protocol/wire"
)

// expireProbes removes the probes that timed out. It returns indirect probes of the targets of direct ones, and marks
// the targets of indirect ones as suspect.
func (m *Machine) expireProbes(now time.Time) []Probe {
	var probes []Probe
	for _, sequence := range m.sortedOutstanding() {
		probe := m.outstanding[sequence]
		if now.Sub(probe.timeoutStart) < m.ProbeTimeout {
			continue
		}
		delete(m.outstanding, sequence)
		target := m.members[probe.target]
		if target == nil {
			continue
		}
		if probe.indirect {
			m.suspect(target, now)
			continue
		}
		probes = append(probes, m.indirectProbes(target.row, now)...)
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

// indirectProbes returns probes of the target through proxies. The probes share one sequence number, so that one answer
// is enough, and get twice the timeout of a direct probe.
func (m *Machine) indirectProbes(target wire.Member, now time.Time) []Probe {
	m.sequence++
	m.outstanding[m.sequence] = &outstandingProbe{
		target:       target.Name,
		timeoutStart: now.Add(m.ProbeTimeout),
		indirect:     true,
	}
	var probes []Probe
	for _, index := range m.Random.Perm(len(m.names)) {
		proxy := m.members[m.names[index]]
		if proxy.state() != Alive || proxy.row.Name == target.Name {
			continue
		}
		via := proxy.row
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
	m.outstanding[m.sequence] = &outstandingProbe{
		target:       to.Name,
		timeoutStart: now,
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

// expireMembers declares members dead that stayed suspect, and removes members that have long been dead or left.
func (m *Machine) expireMembers(now time.Time) {
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

// nextTarget returns the next member in probeOrder that is alive or suspect, nil if there is none. Each pass over
// probeOrder probes every such member once, then the order is shuffled again.
func (m *Machine) nextTarget() *member {
	for range 2 {
		for m.nextProbe < len(m.probeOrder) {
			target := m.members[m.probeOrder[m.nextProbe]]
			m.nextProbe++
			if target != nil && target.state() < Dead {
				return target
			}
		}
		m.probeOrder = append(m.probeOrder[:0], m.names...)
		m.Random.Shuffle(len(m.probeOrder), func(i, j int) {
			m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
		})
		m.nextProbe = 0
	}
	return nil
}
