package route

import (
	"fmt"
	"reflect"
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

// TestVersionsShareWhatTheyRepeat guards against versions that come several times a second while requests still hold the
// ones before: each held a table of its own.
func TestVersionsShareWhatTheyRepeat(t *testing.T) {
	is := is.New(t)
	first := NewTable(newLargeSpec(1))
	held := []*Table{first}
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	const versions = 60 // in 15 s, one each 0.25 s
	for version := 2; version < 2+versions; version++ {
		spec := newLargeSpec(version)
		spec.Routes[version] = New(Spec{Name: spec.Routes[version].Name(), Host: "h", Prefix: "/changed/"})
		held = append(held, NewTable(spec).Sharing(held[len(held)-1]))
	}
	got := heap() - before
	t.Logf("%d bytes a version", got/versions)
	is.True(got < 4<<20)
	last := held[len(held)-1]
	is.Equal(last.Version(), 1+versions)
	is.Equal(last.Match("h", "/changed/x").Name(), "route-61")
	is.Equal(last.Match("h", "/7/x").Name(), "route-7") // changed in version 7 alone
	is.True(last.Match("h", "/2000/x") == first.Match("h", "/2000/x"))
	runtime.KeepAlive(held)
}

// TestOnlyEqualPartsAreShared changes each field in turn: none may be missing in a comparison.
func TestOnlyEqualPartsAreShared(t *testing.T) {
	is := is.New(t)
	for i := range reflect.TypeFor[Spec]().NumField() {
		var changed Spec
		setNonZero(reflect.ValueOf(&changed).Elem().Field(i))
		is.True(!New(changed).equal(New(Spec{})))
		is.True(New(changed).equal(New(changed)))
	}
	for i := range reflect.TypeFor[Pool]().NumField() {
		var changed Pool
		setNonZero(reflect.ValueOf(&changed).Elem().Field(i))
		is.True(!changed.equal(Pool{}))
	}
	for i := range reflect.TypeFor[Team]().NumField() {
		var changed Team
		setNonZero(reflect.ValueOf(&changed).Elem().Field(i))
		is.True(!changed.equal(&Team{}))
	}
}

func setNonZero(field reflect.Value) {
	switch field.Kind() {
	case reflect.String:
		field.SetString("x")
	case reflect.Bool:
		field.SetBool(true)
	case reflect.Slice:
		field.Set(reflect.MakeSlice(field.Type(), 1, 1))
	case reflect.Pointer:
		field.Set(reflect.New(field.Type().Elem()))
	default:
		field.SetInt(1)
	}
}
