package entryvm

import (
	"slices"
	"strconv"
	"time"

	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
)

const partBase = 16

func encodeSuspects(rows []quarantine.Row) []wire.SuspectPart {
	encoded := make([]wire.SuspectPart, 0, len(rows))
	for _, row := range rows {
		part := wire.SuspectPart{
			Pool:   row.Cause.Pool,
			Part:   strconv.FormatUint(row.Cause.ID, partBase),
			Repeat: row.Cause.Kind == quarantine.Repeat,
			Passed: row.Passed,
		}
		for _, crash := range row.Crashes {
			part.Crashes = append(part.Crashes, wire.PartCrash{
				Upstream: crash.Upstream,
				AgeMs:    int(crash.Age.Milliseconds()),
				Cleared:  crash.Cleared,
			})
		}
		if row.Probe != nil {
			part.Probe = &wire.PartProbe{
				AgeMs: int(row.Probe.Age.Milliseconds()),
				Ended: row.Probe.Ended,
			}
		}
		encoded = append(encoded, part)
	}
	return encoded
}

// decodeSuspects decodes the evidence about what crashes upstreams; a row whose ID is no hexadecimal number is left out.
func decodeSuspects(encoded []wire.SuspectPart) []quarantine.Row {
	var rows []quarantine.Row
	for _, part := range encoded {
		id, err := strconv.ParseUint(part.Part, partBase, 64)
		if err != nil {
			continue
		}
		row := quarantine.Row{
			Cause: quarantine.Cause{
				Pool: part.Pool,
				ID:   id,
			},
			Passed: part.Passed,
		}
		if part.Repeat {
			row.Cause.Kind = quarantine.Repeat
		}
		for _, crash := range part.Crashes {
			row.Crashes = append(row.Crashes, quarantine.Crash{
				Upstream: crash.Upstream,
				Age:      time.Duration(crash.AgeMs) * time.Millisecond,
				Cleared:  crash.Cleared,
			})
		}
		if part.Probe != nil {
			row.Probe = &quarantine.Probe{
				Age:   time.Duration(part.Probe.AgeMs) * time.Millisecond,
				Ended: part.Probe.Ended,
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// rank returns this node's rank for a key among the live nodes, 0 for the first; a node that is not among them comes
// last.
func (p *Process) rank(key string) int {
	names := p.members.LiveNames("")
	if rank := slices.Index(rendezvous.Rank(key, names), p.Name); rank >= 0 {
		return rank
	}
	return len(names)
}
