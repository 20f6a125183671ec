package site

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/model/clock"
	"lagoongw/internal/model/engine"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
)

// epoch is the simulated time at which every run begins; nothing depends on the date.
var epoch = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// zoneRounds is how many rounds of tells lie between two in which the relays tell each other.
const zoneRounds = 2

// Pools of the model.
const (
	enginePool  = "engines"
	servicePool = "services"
)

// Site is one run of an installation.
type Site struct {
	spec   Spec
	policy Policy
	clock  *clock.Clock
	// random draws what callers do, ties what policies leave open, so that all policies meet the same callers.
	random   *rand.Rand
	ties     *rand.Rand
	table    *replica.Table
	nodes    []*node
	engines  []*upstream
	services []*upstream
	byName   map[string]*upstream
	links    map[[2]int]time.Time
	read     map[uint64]bool
	requests uint64
	rounds   int
	result   *Result
}

// node is one entry node.
type node struct {
	region     int
	dispatcher *dispatch.Dispatcher
}

// upstream is an engine or a plain service.
type upstream struct {
	name   string
	region int
	// down refuses connections, shedding refuses requests.
	down     bool
	shedding bool
	// engine is nil for a service.
	engine *engine.Engine
	jobs   map[*engine.Job]*sending
	wake   uint64
	// running and queue are those of a service.
	running int
	queue   []*sending
}

// Run plays an installation under a policy and returns what callers got; the same seed gives the same run.
func Run(spec Spec, policy Policy, seed uint64) *Result {
	s := &Site{
		spec:   spec,
		policy: policy,
		clock:  clock.New(epoch),
		random: rand.New(rand.NewPCG(seed, 1)),
		ties:   rand.New(rand.NewPCG(seed, 2)),
		table:  replica.NewTable(),
		byName: map[string]*upstream{},
		links:  map[[2]int]time.Time{},
		read:   map[uint64]bool{},
		result: newResult(spec),
	}
	s.build()
	s.publish()
	for place := range spec.Classes {
		s.nextArrival(place)
	}
	for _, d := range spec.Disturbances {
		s.schedule(d)
	}
	s.clock.After(spec.AdvertiseInterval, s.tell)
	longest := time.Duration(0)
	for _, class := range spec.Classes {
		longest = max(longest, class.Deadline)
	}
	s.clock.Run(epoch.Add(spec.Duration + 2*longest))
	for _, u := range s.engines {
		s.result.Preemptions += u.engine.Preemptions()
	}
	return s.result
}

func (s *Site) build() {
	for i := range s.spec.Engines {
		s.add(&s.engines, fmt.Sprintf("engine-%d", i), i).engine = engine.New(s.spec.Engine, s.noteRead)
	}
	for i := range s.spec.Services {
		s.add(&s.services, fmt.Sprintf("service-%d", i), i)
	}
	pools := map[string]route.Pool{
		enginePool:  {Engine: s.spec.engine()},
		servicePool: {},
	}
	for i := range s.spec.Nodes {
		region := i % s.spec.Regions
		s.nodes = append(s.nodes, &node{
			region: region,
			dispatcher: &dispatch.Dispatcher{
				AvailabilityZone: zoneName(region),
				Region:           zoneName(region),
				Table:            s.table,
				Nodes:            func() int { return s.spec.Nodes },
				Pool: func(name string) (route.Pool, bool) {
					pool, known := pools[name]
					return pool, known
				},
			},
		})
	}
}

func (s *Site) add(list *[]*upstream, name string, i int) *upstream {
	u := &upstream{
		name:   name,
		region: i % s.spec.Regions,
		jobs:   map[*engine.Job]*sending{},
	}
	*list = append(*list, u)
	s.byName[name] = u
	return u
}

func zoneName(region int) string { return fmt.Sprintf("region-%d", region) }

// publish installs the list of the upstreams that are up at all nodes.
func (s *Site) publish() {
	var rows []wire.Machine
	for _, u := range s.engines {
		if !u.down {
			rows = append(rows, u.row(enginePool, replica.KindEngine, s.spec.Engine.Slots))
		}
	}
	for _, u := range s.services {
		rows = append(rows, u.row(servicePool, replica.KindService, s.spec.ServiceSlots))
	}
	s.table.Update(rows)
	for _, n := range s.nodes {
		n.dispatcher.Prune()
	}
}

func (u *upstream) row(pool, kind string, slots int) wire.Machine {
	return wire.Machine{
		Name:             u.name,
		Kind:             kind,
		Pool:             pool,
		Address:          u.name,
		AvailabilityZone: zoneName(u.region),
		Region:           zoneName(u.region),
		Slots:            slots,
	}
}

// nextArrival schedules the next request of a class; arrivals are random and independent.
func (s *Site) nextArrival(place int) {
	class := &s.spec.Classes[place]
	at := s.clock.Now().Sub(epoch)
	rate := class.RequestsPerSecond
	for _, d := range s.spec.Disturbances {
		if d.Kind == Burst && d.Class == class.Name && d.active(at) {
			rate *= d.Factor
		}
	}
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if at+wait > s.spec.Duration {
		return
	}
	s.clock.After(wait, func() {
		s.arrive(place)
		s.nextArrival(place)
	})
}

func (s *Site) schedule(d Disturbance) {
	hit := s.engines[min(d.Skip, len(s.engines)):min(d.Skip+d.Count, len(s.engines))]
	switch d.Kind {
	case Crash:
		s.clock.After(d.Start, func() { s.crash(hit) })
		s.clock.After(d.Start+d.Duration, func() { s.restart(hit) })
	case Shed:
		s.clock.After(d.Start, func() { shed(hit, true) })
		s.clock.After(d.Start+d.Duration, func() { shed(hit, false) })
	case Slow:
		s.clock.After(d.Start, func() { slow(hit, d.Factor) })
		s.clock.After(d.Start+d.Duration, func() { slow(hit, 1) })
	}
}

func slow(hit []*upstream, factor float64) {
	for _, u := range hit {
		u.engine.Slowdown = factor
	}
}

func shed(hit []*upstream, shedding bool) {
	for _, u := range hit {
		u.shedding = shedding
	}
}

// crash ends engines with all that they held; the nodes list them for a while longer.
func (s *Site) crash(hit []*upstream) {
	for _, u := range hit {
		lost := u.sendings()
		u.down = true
		u.engine = engine.New(s.spec.Engine, s.noteRead)
		u.jobs = map[*engine.Job]*sending{}
		u.wake++
		for _, a := range lost {
			a.failAfter(attempt.Lost)
		}
	}
	s.clock.After(s.spec.TableUpdateDelay, s.publish)
}

func (s *Site) restart(hit []*upstream) {
	for _, u := range hit {
		u.down = false
	}
	s.clock.After(s.spec.TableUpdateDelay, s.publish)
}

// tell passes each node's load on to the others, or to as many as it tells.
func (s *Site) tell() {
	if s.spec.Zones > 0 {
		s.relay()
	} else {
		s.tellEach()
	}
	if s.clock.Now().Sub(epoch) < s.spec.Duration {
		s.clock.After(s.spec.AdvertiseInterval, s.tell)
	}
}

func (s *Site) tellEach() {
	others := len(s.nodes) - 1
	if s.spec.AdvertiseFanout > 0 {
		others = min(others, s.spec.AdvertiseFanout)
	}
	for i, from := range s.nodes {
		digest := from.dispatcher.Advertise(s.clock.Now())
		name := fmt.Sprintf("node-%d", i)
		for next := range others {
			to := s.nodes[(i+1+next)%len(s.nodes)]
			s.clock.After(s.delay(from.region, to.region), func() { to.dispatcher.ReceiveDigest(name, digest, s.clock.Now()) })
		}
	}
}

// relay passes the loads on through the first node of each zone, as the product does on large sites.
func (s *Site) relay() {
	s.rounds++
	for i, from := range s.nodes {
		relay := s.nodes[i%s.spec.Zones]
		if from == relay {
			continue
		}
		digest := from.dispatcher.Advertise(s.clock.Now())
		name := fmt.Sprintf("node-%d", i)
		s.clock.After(s.spec.IntraRegionDelay, func() {
			relay.dispatcher.ReceiveDigest(name, digest, s.clock.Now())
			sum := relay.dispatcher.SiteSum(s.clock.Now())
			s.clock.After(s.spec.IntraRegionDelay, func() { from.dispatcher.ReceiveSiteDigest(sum, s.clock.Now()) })
		})
	}
	if s.rounds%zoneRounds != 0 {
		return
	}
	for zone, from := range s.nodes[:s.spec.Zones] {
		sum := from.dispatcher.ZoneSum(s.clock.Now())
		name := fmt.Sprintf("zone-%d", zone)
		for _, to := range s.nodes[:s.spec.Zones] {
			if to != from {
				s.clock.After(s.delay(from.region, to.region), func() { to.dispatcher.ReceiveZoneDigest(name, sum, s.clock.Now()) })
			}
		}
	}
}

// delay is the time one way between two places.
func (s *Site) delay(from, to int) time.Duration {
	if from == to {
		return s.spec.IntraRegionDelay
	}
	return s.spec.InterRegionDelay
}

// transfer returns how long bytes take between two places, behind those that were sent before.
func (s *Site) transfer(from, to, bytes int) time.Duration {
	delay := s.delay(from, to)
	if from == to || s.spec.LinkMegabitsPerSecond == 0 {
		return delay
	}
	s.result.InterRegionBytes += bytes
	link := [2]int{from, to}
	begin := s.clock.Now()
	if free := s.links[link]; free.After(begin) {
		begin = free
	}
	const bitsPerByte = 8
	end := begin.Add(time.Duration(float64(bytes*bitsPerByte) / s.spec.LinkMegabitsPerSecond * float64(time.Microsecond)))
	s.links[link] = end
	return end.Sub(s.clock.Now()) + delay
}

// vary returns a random size around a mean: most are near it, a few much larger.
func (s *Site) vary(mean int) int {
	const spread = 0.5
	factor := math.Exp(spread*s.random.NormFloat64() - spread*spread/2)
	return max(int(float64(mean)*factor), 1)
}
