package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// site is a model of one pool on a platform: upstreams boot, leave and are reclaimed, and demand beyond the serving
// upstreams is unserved. Its clock moves in seconds.
type site struct {
	settings Settings
	now      time.Time
	start    time.Time
	random   *rand.Rand
	machines map[string]*machine
	desired  map[subject]int
	dry      map[string]bool
	lost     string
	named    int
	// demand is the decayed demand in engines at full use.
	demand float64
	// cost is in seconds of an upstream on demand at the usual price, asked and unserved in engine seconds. crowded is the
	// number of seconds in which some work was unserved.
	cost     float64
	unserved float64
	asked    float64
	crowded  int
	most     int
}

type machine struct {
	upstream Upstream
	readyAt  time.Time
	goneAt   time.Time
}

const (
	initialPerZone = 15
	drainTime      = 6 * time.Second
	lag            = 14427 * time.Millisecond
	fullDemand     = 0.8 // the share of its time from which an engine's callers wait too long
)

func testSettings() Settings {
	return Settings{
		Min:       1,
		Max:       30,
		Boot:      4 * time.Second,
		SpotPrice: 0.18,
		ZonePrices: map[string]float64{
			"a": 1, "b": 1, "c": 1.1, "d": 1, "e": 1.2, "f": 1,
		},
		Utilization: 0.5,
		Reserve:     1.0 / 6,
	}
}

// newSite returns a site with initialPerZone on-demand upstreams in each zone.
func newSite() *site {
	s := &site{
		settings: testSettings(),
		start:    time.Unix(1000, 0),
		random:   rand.New(rand.NewPCG(1, 2)),
		machines: map[string]*machine{},
		desired:  map[subject]int{},
		dry:      map[string]bool{},
	}
	s.now = s.start
	for zone := range s.settings.ZonePrices {
		s.desired[subject{zone: zone}] = initialPerZone
	}
	s.follow()
	for _, m := range s.machines {
		m.readyAt = s.now
	}
	return s
}

// follow starts and stops machines as ordered.
func (s *site) follow() {
	for key, desired := range s.desired {
		var live []string
		for name, m := range s.machines {
			if m.upstream.Zone == key.zone && m.upstream.Spot == key.spot && m.goneAt.IsZero() {
				live = append(live, name)
			}
		}
		slices.Sort(live)
		for ; len(live) > desired; live = live[:len(live)-1] {
			s.leave(s.machines[live[len(live)-1]], drainTime)
		}
		available := key.zone != s.lost && (!key.spot || !s.dry[key.zone])
		for n := len(live); n < desired && available; n++ {
			s.named++
			name := fmt.Sprintf("u%05d", s.named)
			s.machines[name] = &machine{
				upstream: Upstream{Name: name, Zone: key.zone, Spot: key.spot},
				readyAt:  s.now.Add(s.settings.Boot),
			}
		}
	}
}

func (s *site) leave(m *machine, after time.Duration) {
	m.upstream.Leaving = true
	m.goneAt = s.now.Add(after)
}

// reclaim takes back the spot upstreams of a zone, which has none for a while.
func (s *site) reclaim(zone string) {
	s.dry[zone] = true
	s.desired[subject{zone: zone, spot: true}] = 0
	for _, m := range s.machines {
		if m.upstream.Zone == zone && m.upstream.Spot && m.goneAt.IsZero() {
			m.upstream.Notice = 2 * time.Second
			s.leave(m, m.upstream.Notice)
		}
	}
}

// lose stops all upstreams of a zone at once, where none start until further notice.
func (s *site) lose(zone string) {
	s.lost = zone
	for name, m := range s.machines {
		if m.upstream.Zone == zone {
			delete(s.machines, name)
		}
	}
}

// order executes an order.
func (s *site) order(o Order) Outcome {
	key := subject{zone: o.Zone, spot: o.Spot}
	if o.Spot && (s.dry[o.Zone] || o.Zone == s.lost) && o.Desired > 0 {
		return NoneAvailable
	}
	s.desired[key] = o.Desired
	return Accepted
}

// upstreams returns the registry: upstreams appear in it once they serve.
func (s *site) upstreams() []Upstream {
	var all []Upstream
	for _, m := range s.machines {
		if !s.now.Before(m.readyAt) {
			all = append(all, m.upstream)
		}
	}
	slices.SortFunc(all, func(a, b Upstream) int { return compareBool(a.Name > b.Name, a.Name < b.Name) })
	return all
}

func (s *site) count(include func(u Upstream) bool) int {
	n := 0
	for _, u := range s.upstreams() {
		if !u.Leaving && include(u) {
			n++
		}
	}
	return n
}

func everyUpstream(Upstream) bool { return true }

// step advances the site by a second in which requests ask for the work of a number of engines.
func (s *site) step(work float64) {
	s.now = s.now.Add(time.Second)
	s.follow()
	for name, m := range s.machines {
		if !m.goneAt.IsZero() && !s.now.Before(m.goneAt) {
			delete(s.machines, name)
			continue
		}
		price := s.settings.ZonePrices[m.upstream.Zone]
		if m.upstream.Spot {
			price *= s.settings.SpotPrice
		}
		s.cost += price
	}
	noise := 1 + 0.05*s.random.NormFloat64()
	s.demand += (work*noise - s.demand) / lag.Seconds()
	serving := s.count(everyUpstream)
	s.most = max(s.most, serving)
	s.asked += work
	if missing := work - fullDemand*float64(serving); missing > 0 {
		s.unserved += missing
		s.crowded++
	}
}

// begin sets the demand that is known at the beginning.
func (s *site) begin(work float64) { s.demand = work }

func (s *site) input() Input {
	return Input{
		Gained:     s.start,
		KnownShare: 1,
		Upstreams:  s.upstreams(),
		Demand: Demand{
			Engines: s.demand / digestUtilization,
			Lag:     lag,
		},
	}
}

// policy decides on the orders of a second.
type policy func(s *site) []Order

// run plays a load pattern for a number of seconds; each is called with the second before it begins.
func (s *site) run(decide policy, answered func(Order, Outcome), seconds int, work func(second int) float64, each func(second int)) {
	for second := range seconds {
		each(second)
		s.step(work(second))
		for _, o := range decide(s) {
			answered(o, s.order(o))
		}
	}
}
