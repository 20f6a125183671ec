package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateOrder is an order without an answer that is executed later.
type lateOrder struct {
	order Order
	at    time.Time
}

// faultySite loses answers, executes orders late, reclaims spot upstreams and changes the holder.
type faultySite struct {
	*site
	planner *Planner
	gained  time.Time
	late    []lateOrder
}

// send executes an order, loses it, or executes it late.
func (f *faultySite) send(o Order, faults bool) Outcome {
	switch chance := f.random.IntN(10); {
	case !faults || chance > 2:
		return f.order(o)
	case chance > 0:
		f.late = append(f.late, lateOrder{
			order: o,
			at:    f.now.Add(time.Duration(1+f.random.IntN(6)) * time.Second),
		})
	}
	return Unknown
}

func (f *faultySite) second(work float64, faults bool) {
	f.step(work)
	pending := f.late
	f.late = nil
	for _, l := range pending {
		if f.now.Before(l.at) {
			f.late = append(f.late, l)
		} else {
			f.order(l.order)
		}
	}
	if faults && f.random.IntN(40) == 0 {
		f.planner, f.gained = newPlanner(f.site), f.now
	}
	zone := []string{"a", "b", "c", "d", "e", "f"}[f.random.IntN(6)]
	switch {
	case faults && f.random.IntN(25) == 0:
		f.reclaim(zone)
	case !faults || f.random.IntN(4) == 0:
		f.dry[zone] = false
	}
	input := f.input()
	input.Gained = f.gained
	for _, o := range f.planner.Plan(f.now, input) {
		f.planner.Answered(f.now, o, f.send(o, faults))
	}
}

// TestPlansRecoverFromFaults guards against a state of the planner that keeps too few or too many upstreams for good after
// answers were lost, orders were executed late, spot upstreams were reclaimed and holders changed, in any order.
func TestPlansRecoverFromFaults(t *testing.T) {
	for seed := range uint64(25) {
		is := is.New(t)
		s := newSite()
		s.random = rand.New(rand.NewPCG(seed, 1))
		f := &faultySite{
			site:    s,
			planner: newPlanner(s),
			gained:  s.now,
		}
		s.begin(25)
		for range 120 {
			f.second(25, true)
			for zone := range s.settings.ZonePrices {
				is.True(s.count(func(u Upstream) bool { return u.Zone == zone }) <= s.settings.Max)
			}
		}
		for range 90 {
			f.second(25, false)
		}
		serving := s.count(everyUpstream)
		most := 0
		for zone := range s.settings.ZonePrices {
			most = max(most, s.count(func(u Upstream) bool { return u.Spot && u.Zone == zone }))
		}
		if serving-most < 50 || serving > 85 || s.count(onDemand) > serving/4+spareOnDemand {
			t.Errorf("seed %d: serving %d, spot of a zone %d, on demand %d", seed, serving, most, s.count(onDemand))
		}
	}
}
