package scaling

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lagoongw/internal/coordination/capacity"
)

const (
	// InitialPerZone is the number of upstreams on demand in each zone at the start.
	InitialPerZone = 15
	// drainTime is the time that an upstream takes to leave when fewer are ordered, noticeTime when it is reclaimed.
	drainTime  = 6 * time.Second
	noticeTime = 2 * time.Second
	// demandLag is the mean age of the requests in the demand that nodes tell each other, and demandUtilization the
	// utilization that it includes; see dispatch.EngineDemand.
	demandLag         = 14427 * time.Millisecond
	demandUtilization = 0.5
	// demandNoise is the standard deviation of the work of a second as a share of it.
	demandNoise = 0.05
	// fullShare is the share of an upstream's time from which its callers wait too long.
	fullShare = 0.8
)

// kind is what an order is about.
type kind struct {
	zone string
	spot bool
}

// machine is an upstream from its order until it is gone.
type machine struct {
	upstream capacity.Upstream
	readyAt  time.Time
	goneAt   time.Time
}

// Site is a model of one pool on a platform: upstreams boot, leave and are reclaimed. Its clock moves in seconds. The work
// beyond what its serving upstreams can do is unserved.
type Site struct {
	// Settings are those of the pool.
	Settings capacity.Settings
	// Random drives the noise of the demand and whatever a test leaves to chance.
	Random *rand.Rand

	now      time.Time
	start    time.Time
	machines map[string]*machine
	desired  map[kind]int
	dry      map[string]bool
	lost     string
	named    int
	demand   float64
	totals   Totals
}

// Totals are sums over the seconds that were played.
type Totals struct {
	// Cost is in seconds of an upstream on demand at a price of 1.
	Cost float64
	// Asked and Unserved are in seconds of an upstream.
	Asked    float64
	Unserved float64
	// Crowded is the number of seconds with unserved work, and Most the largest number of serving upstreams.
	Crowded int
	Most    int
	// Started is the number of upstreams that were started.
	Started int
}

// New returns a site of six zones with InitialPerZone upstreams on demand in each.
func New() *Site {
	s := &Site{
		Settings: capacity.Settings{
			Min:       1,
			Max:       30,
			Boot:      4 * time.Second,
			SpotPrice: 0.18,
			ZonePrices: map[string]float64{
				"a": 1,
				"b": 1,
				"c": 1.1,
				"d": 1,
				"e": 1.2,
				"f": 1,
			},
			Utilization: 0.5,
			Reserve:     1.0 / 6,
		},
		Random:   rand.New(rand.NewPCG(1, 2)),
		start:    time.Unix(1000, 0),
		machines: map[string]*machine{},
		desired:  map[kind]int{},
		dry:      map[string]bool{},
	}
	s.now = s.start
	for _, zone := range s.Zones() {
		s.desired[kind{zone: zone}] = InitialPerZone
	}
	s.follow()
	for _, m := range s.machines {
		m.readyAt = s.now
	}
	return s
}

// Now returns the time of the site, and Start that of its beginning.
func (s *Site) Now() time.Time { return s.now }

// Start returns the time at which the site began.
func (s *Site) Start() time.Time { return s.start }

// Zones returns the names of the zones, sorted.
func (s *Site) Zones() []string { return slices.Sorted(maps.Keys(s.Settings.ZonePrices)) }

// Totals returns the sums since the last call of ResetTotals.
func (s *Site) Totals() Totals { return s.totals }

// ResetTotals begins new sums.
func (s *Site) ResetTotals() { s.totals = Totals{} }

// SetDemand sets the work a second that the demand shows so far.
func (s *Site) SetDemand(work float64) { s.demand = work }

// Reclaim takes back the spot upstreams of a zone, which has none until Refill.
func (s *Site) Reclaim(zone string) {
	s.dry[zone] = true
	s.desired[kind{
		zone: zone,
		spot: true,
	}] = 0
	for _, m := range s.machines {
		if m.upstream.Zone == zone && m.upstream.Spot && m.goneAt.IsZero() {
			m.upstream.Notice = noticeTime
			s.leave(m, noticeTime)
		}
	}
}

// Refill makes spot upstreams available in a zone again.
func (s *Site) Refill(zone string) { s.dry[zone] = false }

// Lose stops all upstreams of a zone, where none start until another zone is lost; the empty name is none.
func (s *Site) Lose(zone string) {
	s.lost = zone
	maps.DeleteFunc(s.machines, func(_ string, m *machine) bool { return m.upstream.Zone == zone })
}

// Execute executes an order.
func (s *Site) Execute(o capacity.Order) capacity.Outcome {
	if o.Spot && (s.dry[o.Zone] || o.Zone == s.lost) && o.Desired > 0 {
		return capacity.NoneAvailable
	}
	s.desired[kind{
		zone: o.Zone,
		spot: o.Spot,
	}] = o.Desired
	return capacity.Accepted
}

// Step advances the site by a second in which requests ask for the work of a number of upstreams.
func (s *Site) Step(work float64) {
	s.now = s.now.Add(time.Second)
	s.follow()
	for name, m := range s.machines {
		if !m.goneAt.IsZero() && !s.now.Before(m.goneAt) {
			delete(s.machines, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.machines)) { // in order, so that the sum is the same each time
		u := s.machines[name].upstream
		price := s.Settings.ZonePrices[u.Zone]
		if u.Spot {
			price *= s.Settings.SpotPrice
		}
		s.totals.Cost += price
	}
	s.demand += (work*(1+demandNoise*s.Random.NormFloat64()) - s.demand) / demandLag.Seconds()
	serving := s.Count(Every)
	s.totals.Most = max(s.totals.Most, serving)
	s.totals.Asked += work
	if missing := work - fullShare*float64(serving); missing > 0 {
		s.totals.Unserved += missing
		s.totals.Crowded++
	}
}

// Every includes all upstreams in a count.
func Every(capacity.Upstream) bool { return true }

// Count returns the number of serving upstreams that are not leaving, among those that are included.
func (s *Site) Count(include func(u capacity.Upstream) bool) int {
	n := 0
	for _, m := range s.machines {
		if !s.now.Before(m.readyAt) && !m.upstream.Leaving && include(m.upstream) {
			n++
		}
	}
	return n
}

// Input returns what the holder of the duty knows, which it has held since the start. Upstreams are listed once they serve.
func (s *Site) Input() capacity.Input {
	var listed []capacity.Upstream
	for _, name := range slices.Sorted(maps.Keys(s.machines)) {
		if m := s.machines[name]; !s.now.Before(m.readyAt) {
			listed = append(listed, m.upstream)
		}
	}
	return capacity.Input{
		Gained:     s.start,
		KnownShare: 1,
		Upstreams:  listed,
		Demand: capacity.Demand{
			Engines: s.demand / demandUtilization,
			Lag:     demandLag,
		},
	}
}

// follow starts and stops upstreams as ordered.
func (s *Site) follow() {
	kinds := slices.SortedFunc(maps.Keys(s.desired), func(a, b kind) int {
		if a.zone == b.zone && a.spot != b.spot {
			return map[bool]int{true: 1, false: -1}[a.spot]
		}
		return cmp.Compare(a.zone, b.zone)
	})
	for _, k := range kinds {
		s.followKind(k, s.desired[k])
	}
}

func (s *Site) followKind(k kind, desired int) {
	var live []string
	for name, m := range s.machines {
		if m.upstream.Zone == k.zone && m.upstream.Spot == k.spot && m.goneAt.IsZero() {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	for ; len(live) > desired; live = live[:len(live)-1] {
		s.leave(s.machines[live[len(live)-1]], drainTime)
	}
	if k.zone == s.lost || k.spot && s.dry[k.zone] {
		return
	}
	for n := len(live); n < desired; n++ {
		s.named++
		s.totals.Started++
		name := fmt.Sprintf("u%05d", s.named)
		s.machines[name] = &machine{
			readyAt: s.now.Add(s.Settings.Boot),
			upstream: capacity.Upstream{
				Name: name,
				Zone: k.zone,
				Spot: k.spot,
			},
		}
	}
}

func (s *Site) leave(m *machine, after time.Duration) {
	m.upstream.Leaving = true
	m.goneAt = s.now.Add(after)
}
