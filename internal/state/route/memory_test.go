package route

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// newLargeSpec returns a table of many routes and teams, which have a few tiers.
func newLargeSpec(version int) TableSpec {
	spec := TableSpec{Version: version}
	for i := range 2500 {
		spec.Routes = append(spec.Routes, New(Spec{
			Name:   fmt.Sprintf("route-%d", i),
			Host:   "h",
			Prefix: fmt.Sprintf("/%d/", i),
			Tier:   i % 3,
			Pools:  []WeightedPool{{Pool: fmt.Sprintf("pool-%d", i%7), Weight: 1}},
		}))
	}
	for i := range 1000 {
		team := newTeamWithTier(i % 4)
		team.Name = fmt.Sprintf("team-%d", i)
		team.Keys = []string{fmt.Sprintf("key-%d", i)}
		spec.Teams = append(spec.Teams, team)
	}
	for i := range 7 {
		spec.Pools = append(spec.Pools, Pool{
			Name:   fmt.Sprintf("pool-%d", i),
			Engine: &Engine{Slots: 4},
		})
	}
	return spec
}

// allocated returns the number of bytes that a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestLargeTablesAreBuiltInLittleMemory guards against a list of all pairs of routes and teams, which took more than the
// whole memory of a small VM.
func TestLargeTablesAreBuiltInLittleMemory(t *testing.T) {
	is := is.New(t)
	spec := newLargeSpec(1)
	got := allocated(func() { NewTable(spec) })
	t.Logf("%d bytes allocated", got)
	is.True(got < 1<<20)
}
