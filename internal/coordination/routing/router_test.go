package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
)

var start = time.Unix(1_700_000_000, 0)

func engines(count int) []wire.Machine {
	var machines []wire.Machine
	for i := range count {
		machines = append(machines, wire.Machine{
			Name:             fmt.Sprintf("engine-%03d", i),
			Kind:             replica.KindEngine,
			Pool:             "engines",
			Address:          fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%6),
			Region:           fmt.Sprintf("region-%d", i%2),
			Slots:            8,
			Models:           []string{fmt.Sprintf("model-%d", i%25), "planner"},
		})
	}
	return machines
}

func newRouter(count int) *Router {
	table := replica.NewTable()
	table.Update(engines(count))
	return &Router{
		AvailabilityZone: "zone-0",
		Region:           "region-0",
		Table:            table,
		Ejector:          NewEjector(),
		ReportDecay:      DefaultReportDecay,
		ColdPrefixCost:   DefaultColdPrefixCost,
	}
}

func (r *Router) replica(t testing.TB, i int) *replica.Replica {
	found, ok := r.Table.Load().Replica(fmt.Sprintf("engine-%03d", i))
	if !ok {
		t.Fatalf("no engine %d", i)
	}
	return found
}

func TestIdleUpstreamInOwnZoneIsChosen(t *testing.T) {
	is := is.New(t)
	r := newRouter(6)
	for range 100 {
		is.Equal(r.Choose(Request{Pool: "engines"}, rand.Uint64(), start).Replica.Name(), "engine-000")
	}
}

func TestOtherRegionIsChosenWhenLocalQueueIsLonger(t *testing.T) {
	is := is.New(t)
	r := newRouter(2)
	for range 9 {
		r.replica(t, 0).Begin()
	}
	is.Equal(r.Choose(Request{Pool: "engines"}, 0, start).Replica.Name(), "engine-001")
	r.LinkBudget = &LinkBudget{
		BytesPerSecond: 1000,
		Burst:          1000,
	}
	is.Equal(r.Choose(Request{
		Pool:  "engines",
		Bytes: 5000,
	}, 0, start).Replica.Name(), "engine-000") // the request exceeds the link budget
}

func TestUnusableUpstreamsAreNotChosen(t *testing.T) {
	is := is.New(t)
	r := newRouter(4)
	r.replica(t, 0).MarkLeaving()
	choice := r.Choose(Request{
		Pool:    "engines",
		Model:   "planner",
		Exclude: []string{"engine-002"},
	}, 0, start)
	is.True(choice.Replica.Name() == "engine-001" || choice.Replica.Name() == "engine-003")
	is.Equal(r.Choose(Request{
		Pool:  "engines",
		Model: "nonesuch",
	}, 0, start).Replica, nil)
	is.Equal(r.Choose(Request{Pool: "nonesuch"}, 0, start).Reason, "no upstream in the pool")
}

func TestWarmPrefixIsPreferredUntilItExpires(t *testing.T) {
	is := is.New(t)
	r := newRouter(12)
	warm := r.replica(t, 6) // same zone as engine 0
	warm.ApplyCacheEvents([]wire.CacheEvent{{
		Sequence: 1,
		Prefix:   "p",
		Stored:   true,
	}}, start)
	choice := r.Choose(Request{
		Pool:   "engines",
		Prefix: "p",
	}, 0, start)
	is.Equal(choice.Replica.Name(), warm.Name())
	is.True(choice.Warm)
	is.True(!warm.HasCachedPrefix("p", start.Add(replica.PrefixTTL)))
}

func TestGapInCacheEventsClearsPrefixes(t *testing.T) {
	is := is.New(t)
	r := newRouter(1).replica(t, 0)
	event := func(sequence int, prefix string, stored bool) wire.CacheEvent {
		return wire.CacheEvent{
			Sequence: sequence,
			Prefix:   prefix,
			Stored:   stored,
		}
	}
	r.ApplyCacheEvents([]wire.CacheEvent{event(1, "a", true), event(2, "b", true)}, start)
	is.True(r.HasCachedPrefix("a", start))
	r.ApplyCacheEvents([]wire.CacheEvent{event(2, "b", true), event(4, "c", true)}, start) // event 3 may have evicted a
	is.True(!r.HasCachedPrefix("a", start))
	is.True(r.HasCachedPrefix("c", start))
	r.ApplyCacheEvents([]wire.CacheEvent{event(5, "c", false)}, start)
	is.True(!r.HasCachedPrefix("c", start))
}

func TestEjectionOfOutliersIsLimited(t *testing.T) {
	is := is.New(t)
	r := newRouter(9)
	for i := range 9 {
		r.replica(t, i).RecordLatency(100 * time.Millisecond)
	}
	r.replica(t, 0).RecordLatency(10 * time.Second)
	for i := 1; i < 6; i++ {
		for range DefaultMaxFailures {
			r.replica(t, i).RecordFailure()
		}
	}
	r.Ejector.Tick(r.Table.Load(), start)
	ejected := 0
	for i := range 9 {
		if r.Ejector.Ejected(r.replica(t, i).Name(), start) {
			ejected++
		}
	}
	is.Equal(ejected, 3) // a third of nine, although six are outliers
	is.True(r.Ejector.Ejected("engine-000", start))
	is.True(!r.Ejector.Ejected("engine-000", start.Add(DefaultEjectionTime)))
}

func TestRequestIsServedWhenAllAreEjected(t *testing.T) {
	is := is.New(t)
	r := newRouter(1)
	r.Ejector.MaxEjected = 1
	for range DefaultMaxFailures {
		r.replica(t, 0).RecordFailure()
	}
	r.Ejector.Tick(r.Table.Load(), start)
	is.True(r.Ejector.Ejected("engine-000", start))
	is.True(r.Choose(Request{Pool: "engines"}, 0, start).Replica != nil)
}

func TestLowTiersLeaveLinkBudgetToHighTiers(t *testing.T) {
	is := is.New(t)
	l := &LinkBudget{
		BytesPerSecond: 1000,
		Burst:          1000,
	}
	l.Spend(600, start)
	is.True(l.Allows(0, 100, start))
	is.True(!l.Allows(6, 100, start))
	is.True(l.Allows(6, 100, start.Add(time.Second)))
	is.Equal(l.Used(), int64(600))
}

// BenchmarkChoose measures the time and allocations of Choose by pool size, in parallel on all cores.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{9, 60, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newRouter(count)
			for i := range count {
				r.replica(b, i).ApplyLoadReport(wire.LoadReport{
					Running: i % 8,
					Slots:   8,
				}, start)
			}
			r.Table.Load().Pool("engines").RefreshMeanPeerRequests()
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				random := rand.New(rand.NewPCG(1, 2))
				for pb.Next() {
					choice := r.Choose(Request{
						Pool:   "engines",
						Model:  "planner",
						Prefix: "0123456789abcdef",
					}, random.Uint64(), start)
					choice.Replica.Begin()
					choice.Replica.End()
				}
			})
		})
	}
}

// TestEjectionLeavesTheLatencyAloneWithoutAMedian ejects a failing upstream of a pool of which too few latencies are
// known: its own latency must not be averaged with zero.
func TestEjectionLeavesTheLatencyAloneWithoutAMedian(t *testing.T) {
	is := is.New(t)
	table := replica.NewTable()
	table.Update(engines(4))
	failing := table.Load().PoolReplicas("engines")[0]
	failing.RecordLatency(200 * time.Millisecond)
	for range DefaultMaxFailures {
		failing.RecordFailure()
	}
	ejector := NewEjector()
	ejector.Tick(table.Load(), start)
	is.True(ejector.Ejected(failing.Name(), start))
	is.Equal(failing.Latency(), 200*time.Millisecond)
}

// TestStreamGoesOnAtItsVersionAlone guards against a stream whose events come from two software versions.
func TestStreamGoesOnAtItsVersionAlone(t *testing.T) {
	is := is.New(t)
	r := newRouter(0)
	machines := engines(6)
	for i := range machines {
		machines[i].Version = fmt.Sprintf("v%d", i%2)
	}
	r.Table.Update(machines)
	request := Request{
		Pool:    "engines",
		Bound:   true,
		Version: "v1",
		Prefer:  "engine-000",
	}
	for range 100 {
		is.Equal(r.Choose(request, rand.Uint64(), start).Replica.Version(), "v1")
	}
	request.Exclude = []string{"engine-001", "engine-003", "engine-005"}
	is.True(r.Choose(request, 0, start).Replica == nil)
	request.Bound = false
	is.Equal(r.Choose(request, 0, start).Replica.Version(), "v0")
	is.Equal(newRouter(6).Choose(Request{
		Pool:  "engines",
		Bound: true,
	}, 0, start).Replica.Name(), "engine-000") // the list states no versions
}
