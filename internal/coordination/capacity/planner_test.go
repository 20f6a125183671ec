package capacity_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/capacity"
	"lagoongw/internal/model/scaling"
)

// initial is the number of upstreams at the start of the model, and spareOnDemand that of upstreams on demand above their
// reserve that are not given up.
const (
	initial       = 6 * scaling.InitialPerZone
	spareOnDemand = 1
)

// play plays a steady load; each, if set, is called before each second.
func play(s *scaling.Site, p scaling.Decider, seconds int, work float64, each func(second int)) {
	scaling.Play(s, p, seconds, scaling.Pattern{
		Work: scaling.Steady(work),
		Event: func(_ *scaling.Site, second int) {
			if each != nil {
				each(second)
			}
		},
	})
}

// newSite returns a site with a demand and its planner.
func newSite(demand float64) (*scaling.Site, *scaling.Planner) {
	s := scaling.New()
	s.SetDemand(demand)
	return s, scaling.NewPlanner(s.Settings)
}

func onDemand(u capacity.Upstream) bool { return !u.Spot }

// maxOnDemand returns the largest number of upstreams on demand for the reserve of a wanted number.
func maxOnDemand(wanted int) int { return wanted/6 + 1 + spareOnDemand }

// TestSpotReplacesOnDemandWithoutTooFewServing guards against a replacement that gives up upstreams on demand before the
// spot upstreams serve, or that never ends.
func TestSpotReplacesOnDemandWithoutTooFewServing(t *testing.T) {
	is := is.New(t)
	s, p := newSite(22)
	wanted := 0
	play(s, p, 90, 22, func(int) {
		is.True(s.Count(scaling.Every) >= 45) // the work of 22 engines at a utilization of 0.5, rounded up to 44, and noise
		wanted = max(wanted, p.State().Wanted)
	})
	is.True(s.Count(onDemand) <= maxOnDemand(wanted))
	is.True(s.Count(scaling.Every) <= 70)
}

// TestReplacementBeginsBeforeTraffic guards against idle upstreams on demand that are billed until traffic starts, and
// against too few upstreams for the first requests.
func TestReplacementBeginsBeforeTraffic(t *testing.T) {
	is := is.New(t)
	s, p := newSite(0)
	wanted := 0
	play(s, p, 60, 0, func(int) {
		is.True(s.Count(scaling.Every) >= initial)
		wanted = max(wanted, p.State().Wanted)
	})
	is.True(s.Count(onDemand) <= maxOnDemand(wanted))
	spot := s.Count(scaling.Every) - s.Count(onDemand)
	is.True(float64(s.Count(onDemand))+0.18*float64(spot) <= initial/2) // the price of half of those found
}

// TestTrafficThatBeginsIsServed guards against a number of upstreams that is too small for the first requests after a time
// without any: those of the work of 50 engines, where 90 were found.
func TestTrafficThatBeginsIsServed(t *testing.T) {
	is := is.New(t)
	s, p := newSite(0)
	play(s, p, 40, 0, nil)
	s.SetDemand(50)
	play(s, p, 30, 50, nil)
	is.True(s.Totals().Unserved == 0)
}

// TestReclaimedZoneIsReplaced guards against a loss of more than the plan allows for when the spot upstreams of a zone are
// reclaimed.
func TestReclaimedZoneIsReplaced(t *testing.T) {
	is := is.New(t)
	s, p := newSite(30)
	play(s, p, 60, 30, nil)
	s.Reclaim("b")
	play(s, p, 60, 30, func(second int) {
		is.True(s.Count(scaling.Every) >= 60)
		if second >= 8 {
			lost := s.Count(func(u capacity.Upstream) bool { return u.Spot && u.Zone == "a" })
			is.True(s.Count(scaling.Every)-lost >= 60) // another zone may be lost
		}
	})
}

// refusalCounter counts the refused orders of a policy by zone.
type refusalCounter struct {
	scaling.Decider
	refusals map[string]int
}

func (c *refusalCounter) Answered(s *scaling.Site, o capacity.Order, outcome capacity.Outcome) {
	if outcome == capacity.NoneAvailable {
		c.refusals[o.Zone]++
	}
	c.Decider.Answered(s, o, outcome)
}

// TestDryZonesAreReplacedOnDemand guards against waiting for spot upstreams where there are none, against asking for them
// too often, and against keeping their replacements when there are some again.
func TestDryZonesAreReplacedOnDemand(t *testing.T) {
	is := is.New(t)
	s, p := newSite(30)
	play(s, p, 60, 30, nil)
	dry := []string{"b", "c", "d", "e"}
	for _, zone := range dry {
		s.Reclaim(zone)
	}
	counter := &refusalCounter{
		Decider:  p,
		refusals: map[string]int{},
	}
	play(s, counter, 60, 30, func(second int) { is.True(second < 8 || s.Count(scaling.Every) >= 60) })
	for _, zone := range dry {
		is.True(counter.refusals[zone] >= 5 && counter.refusals[zone] <= 9) // after 2, 4, and 8 s, and each 8 s then
		s.Refill(zone)
	}
	wanted := 0
	play(s, p, 60, 30, func(int) { wanted = max(wanted, p.State().Wanted) })
	is.True(s.Count(onDemand) <= maxOnDemand(wanted))
}

// TestStepOfDemandIsMet guards against a prediction that follows the decaying sum of the demand only when it has risen.
func TestStepOfDemandIsMet(t *testing.T) {
	is := is.New(t)
	s, p := newSite(20)
	play(s, p, 60, 20, nil)
	s.ResetTotals()
	play(s, p, 30, 40, nil)
	is.True(s.Totals().Unserved == 0)
	is.True(s.Count(scaling.Every) >= 80)
}

// TestNothingIsGivenUpOnAPartialView guards against scaling down by the demand of a part of the nodes, right after the duty
// was gained, or while upstreams crash.
func TestNothingIsGivenUpOnAPartialView(t *testing.T) {
	for name, change := range map[string]func(s *scaling.Site, input *capacity.Input){
		"few nodes are known": func(_ *scaling.Site, input *capacity.Input) { input.KnownShare = 0.79 },
		"just gained": func(s *scaling.Site, input *capacity.Input) {
			input.Gained = s.Now().Add(-2 * time.Second)
		},
		"upstreams crash": func(s *scaling.Site, input *capacity.Input) {
			input.Upstreams[s.Random.IntN(len(input.Upstreams))].Boot = int(s.Now().Unix())
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, p := newSite(10)
			p.Change = func(input *capacity.Input) { change(s, input) }
			play(s, p, 40, 10, nil)
			is.True(s.Count(onDemand) == initial)
		})
	}
}

// TestOrdersAreRepeatedWhileTheRegistryDiffers guards against an order without an answer that is executed late, after a
// newer one.
func TestOrdersAreRepeatedWhileTheRegistryDiffers(t *testing.T) {
	is := is.New(t)
	s, p := newSite(22)
	play(s, p, 90, 22, nil)
	before := s.Count(scaling.Every)
	s.Execute(capacity.Order{
		Zone:    "a",
		Spot:    true,
		Desired: 1,
	})
	play(s, p, 20, 22, nil)
	is.True(s.Count(scaling.Every) >= before-2)
}

// TestSteadyLoadMovesNothing guards against upstreams that are replaced for small gains, which costs their cached prompts.
func TestSteadyLoadMovesNothing(t *testing.T) {
	is := is.New(t)
	s, p := newSite(22)
	play(s, p, 120, 22, nil)
	s.ResetTotals()
	play(s, p, 300, 22, nil)
	is.True(s.Totals().Started <= 15) // of about 60, in 5 minutes with noise of 5%
}

// TestUpstreamsFoundLateAreNotGivenUp guards against a holder that takes the upstreams for surplus because it learned of them
// only some time after it gained the duty.
func TestUpstreamsFoundLateAreNotGivenUp(t *testing.T) {
	is := is.New(t)
	s, p := newSite(30)
	p.Change = func(input *capacity.Input) { input.Gained = s.Start().Add(-time.Minute) }
	play(s, p, 40, 30, func(int) { is.True(s.Count(scaling.Every) >= 60) })
}

// TestUpstreamsThatDoNotServeAreReplaced guards against a plan that counts on upstreams that are listed and down, and against
// one that orders without end because the nodes are cut off from all of them.
func TestUpstreamsThatDoNotServeAreReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		down     func(u capacity.Upstream) bool
		min, max int
	}{
		"a zone": {
			down: func(u capacity.Upstream) bool { return u.Zone == "a" },
			min:  60,
			max:  100,
		},
		"all": {
			down: scaling.Every,
			max:  110, // a quarter above the base, with the spot upstreams of a zone
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, p := newSite(30)
			play(s, p, 60, 30, nil)
			p.Change = func(input *capacity.Input) {
				for i := range input.Upstreams {
					input.Upstreams[i].Down = c.down(input.Upstreams[i])
				}
			}
			play(s, p, 40, 30, nil)
			up := s.Count(func(u capacity.Upstream) bool { return !c.down(u) })
			is.True(up >= c.min)
			is.True(s.Count(scaling.Every) <= c.max)
		})
	}
}

// TestReturnAfterAPartialViewIsNoRise guards against orders for a steep rise when all nodes are known again, and against
// upstreams that are given up by the demand of a part of the nodes right after.
func TestReturnAfterAPartialViewIsNoRise(t *testing.T) {
	is := is.New(t)
	s, p := newSite(22)
	play(s, p, 60, 22, nil)
	before := s.Count(scaling.Every)
	p.Change = func(input *capacity.Input) {
		if since := s.Now().Sub(s.Start()).Seconds(); since > 70 && since < 100 {
			input.KnownShare = 0.3
			input.Demand.Engines *= 0.3
		}
	}
	play(s, p, 80, 22, func(int) {
		is.True(s.Count(scaling.Every) >= 44)
		is.True(s.Count(scaling.Every) <= before+before/10)
	})
}

// TestOrdersOfTheFormerHolderAreTakenOver guards against a new holder that cancels an increase which its predecessor ordered,
// because the upstreams are not listed until they have started.
func TestOrdersOfTheFormerHolderAreTakenOver(t *testing.T) {
	is := is.New(t)
	input, former := capacity.Input{KnownShare: 1}, map[string]int{}
	for _, zone := range []string{"a", "b"} {
		for i := range 10 {
			input.Upstreams = append(input.Upstreams, capacity.Upstream{
				Name: zone + string(rune('0'+i)),
				Zone: zone,
				Spot: true,
			})
		}
		former[zone] = 20
		input.Former = append(input.Former, capacity.Order{
			Zone:    zone,
			Spot:    true,
			Desired: 20,
		})
	}
	p := &capacity.Planner{
		Pool: "p",
		Settings: capacity.Settings{
			Max:         30,
			Boot:        4 * time.Second,
			SpotPrice:   0.2,
			ZonePrices:  map[string]float64{"a": 1, "b": 1},
			Utilization: 0.5,
			Least:       14,
		},
	}
	gained := time.Unix(1000, 0)
	input.Gained = gained
	for now := gained; now.Sub(gained) < 3*time.Second; now = now.Add(200 * time.Millisecond) {
		for _, order := range p.Plan(now, input) {
			is.True(!order.Spot || order.Desired >= former[order.Zone])
			p.Answered(now, order, capacity.Accepted)
		}
	}
	is.Equal(p.State().Count("a", true).Planned, 20)
	is.Equal(p.State().Count("b", true).Planned, 20)
}

// TestReclaimedZoneIsNotTakenOver guards against a new holder that counts on spot upstreams which its predecessor ordered and
// the platform has taken back since.
func TestReclaimedZoneIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	s, p := newSite(30)
	p.Change = func(input *capacity.Input) {
		input.Former = []capacity.Order{{
			Zone:    "a",
			Spot:    true,
			Desired: 25,
		}}
	}
	s.Reclaim("a")
	play(s, p, 2, 30, nil)
	is.Equal(p.State().Count("a", true).Planned, 0)
}

// TestChangesOfTheHolderAddNoUpstreams guards against holders that follow each other and each keep what they found, with the
// spare spot upstreams of a zone on top.
func TestChangesOfTheHolderAddNoUpstreams(t *testing.T) {
	is := is.New(t)
	s, p := newSite(10)
	play(s, p, 60, 10, nil)
	before := s.Count(scaling.Every)
	for range 5 {
		p.Change = func(input *capacity.Input) { input.Gained = s.Now().Truncate(8 * time.Second) }
		play(s, p, 8, 10, nil)
	}
	is.True(s.Count(scaling.Every) <= before+before/10)
}
