package capacity_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/capacity"
	"lagoongw/internal/model/scaling"
)

// lateOrder is an order without an answer that is executed later.
type lateOrder struct {
	order capacity.Order
	at    time.Time
}

// faultySite loses answers, executes orders late, reclaims spot upstreams and changes the holder.
type faultySite struct {
	*scaling.Site
	planner *scaling.Planner
	late    []lateOrder
}

// send executes an order, loses it, or executes it late.
func (f *faultySite) send(o capacity.Order, faults bool) capacity.Outcome {
	switch chance := f.Random.IntN(10); {
	case !faults || chance > 2:
		return f.Execute(o)
	case chance > 0:
		f.late = append(f.late, lateOrder{
			order: o,
			at:    f.Now().Add(time.Duration(1+f.Random.IntN(6)) * time.Second),
		})
	}
	return capacity.Unknown
}

func (f *faultySite) second(work float64, faults bool) {
	f.Step(work)
	pending := f.late
	f.late = nil
	for _, l := range pending {
		if f.Now().Before(l.at) {
			f.late = append(f.late, l)
		} else {
			f.Execute(l.order)
		}
	}
	if faults && f.Random.IntN(40) == 0 {
		gained := f.Now()
		f.planner = scaling.NewPlanner(f.Settings)
		f.planner.Change = func(input *capacity.Input) { input.Gained = gained }
	}
	zone := f.Zones()[f.Random.IntN(6)]
	switch {
	case faults && f.Random.IntN(25) == 0:
		f.Reclaim(zone)
	case !faults || f.Random.IntN(4) == 0:
		f.Refill(zone)
	}
	for _, o := range f.planner.Decide(f.Site) {
		f.planner.Answered(f.Site, o, f.send(o, faults))
	}
}

// TestPlansRecoverFromFaults guards against a state of the planner that keeps too few or too many upstreams for good after
// answers were lost, orders were executed late, spot upstreams were reclaimed and holders changed, in any order.
func TestPlansRecoverFromFaults(t *testing.T) {
	for seed := range uint64(25) {
		is := is.New(t)
		s, p := newSite(25)
		s.Random = rand.New(rand.NewPCG(seed, 1))
		f := &faultySite{
			Site:    s,
			planner: p,
		}
		for range 120 {
			f.second(25, true)
			for zone := range s.Settings.ZonePrices {
				is.True(s.Count(func(u capacity.Upstream) bool { return u.Zone == zone }) <= s.Settings.Max)
			}
		}
		for range 90 {
			f.second(25, false)
		}
		serving := s.Count(scaling.Every)
		most := 0
		for zone := range s.Settings.ZonePrices {
			most = max(most, s.Count(func(u capacity.Upstream) bool { return u.Spot && u.Zone == zone }))
		}
		if serving-most < 50 || serving > 85 || s.Count(onDemand) > serving/4+spareOnDemand {
			t.Errorf("seed %d: serving %d, spot of a zone %d, on demand %d", seed, serving, most, s.Count(onDemand))
		}
	}
}
