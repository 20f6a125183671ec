package replica

import (
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

func row(change func(row *wire.Machine)) wire.Machine {
	machine := wire.Machine{
		Name:    "u1",
		Kind:    KindService,
		Pool:    "p",
		Address: "10.0.0.1:80",
		Slots:   6,
		Boot:    1,
	}
	change(&machine)
	return machine
}

// TestUpdateAppliesEveryFieldOfARow checks that an upstream keeps its counters only as long as it is the same one, and
// that its slots may change meanwhile.
func TestUpdateAppliesEveryFieldOfARow(t *testing.T) {
	for name, c := range map[string]struct {
		change func(row *wire.Machine)
		same   bool
	}{
		"nothing": {change: func(*wire.Machine) {}, same: true},
		"state":   {change: func(row *wire.Machine) { row.State = StateLeaving }, same: true},
		"slots":   {change: func(row *wire.Machine) { row.Slots = 9 }, same: true},
		"pool":    {change: func(row *wire.Machine) { row.Pool = "q" }},
		"address": {change: func(row *wire.Machine) { row.Address = "10.0.0.2:80" }},
		"boot":    {change: func(row *wire.Machine) { row.Boot = 2 }},
		"notice":  {change: func(row *wire.Machine) { row.LeavesMs = 9000 }, same: true},
		"spot":    {change: func(row *wire.Machine) { row.Spot = true }},
		"zone":    {change: func(row *wire.Machine) { row.AvailabilityZone = "b" }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			table.Update([]wire.Machine{row(func(*wire.Machine) {})})
			before, _ := table.Load().Replica("u1")
			changed := row(c.change)
			table.Update([]wire.Machine{changed})
			after, _ := table.Load().Replica("u1")
			is.Equal(before == after, c.same)
			is.Equal(after.Slots(), changed.Slots)
			is.Equal(after.Pool(), changed.Pool)
			is.Equal(after.Spot(), changed.Spot)
			is.Equal(after.Notice().Milliseconds(), int64(changed.LeavesMs))
			is.Equal(after.Leaving(), changed.State == StateLeaving)
			is.Equal(len(table.Load().PoolReplicas(changed.Pool)), 1)
		})
	}
}
