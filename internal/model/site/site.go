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

// epoch is the simulated time at which every run starts. No result depends on its value.
var epoch = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// roundsPerRelayExchange is the number of rounds of advertisements per exchange between the relays.
const roundsPerRelayExchange = 2

// Names of the upstream pools.
const (
	enginePool  = "engines"
	servicePool = "services"
)

// Site is the state of one simulation run.
type Site struct {
	spec   Spec
	policy Policy
	clock  *clock.Clock
	// random generates the requests, and tieRandom breaks ties in the choice of an upstream. They are separate so that
	// all policies get the same requests.
	random    *rand.Rand
	tieRandom *rand.Rand
	table     *replica.Table
	nodes     []*node
	engines   []*upstream
	services  []*upstream
	byName    map[string]*upstream
	// linkFreeAt holds, by sending and receiving region, the time at which the link has sent all bytes given to it.
	linkFreeAt map[[2]int]time.Time
	// prefilled holds the IDs of the prompt parts that any engine has prefilled.
	prefilled map[uint64]bool
	// requests is the number of requests so far, and rounds that of advertisements through relays.
	requests uint64
	rounds   int
	result   *Result
}

// node is an entry VM.
type node struct {
	region     int
	dispatcher *dispatch.Dispatcher
}

// upstream is an engine or a plain service.
type upstream struct {
	name   string
	region int
	// down means that no connection can be opened, shedding that requests are refused.
	down     bool
	shedding bool
	// engine is nil for a service.
	engine *engine.Engine
	jobs   map[*engine.Job]*upstreamAttempt
	// advanceSequence is the number of the newest scheduled call of Advance; calls with older numbers have no effect.
	advanceSequence uint64
	// running and queue are the requests of a service; an engine has its own.
	running int
	queue   []*upstreamAttempt
}

// Run simulates an installation under a policy. The same seed gives the same result.
func Run(spec Spec, policy Policy, seed uint64) *Result {
	s := &Site{
		spec:       spec,
		policy:     policy,
		clock:      clock.New(epoch),
		random:     rand.New(rand.NewPCG(seed, 1)),
		tieRandom:  rand.New(rand.NewPCG(seed, 2)),
		table:      replica.NewTable(),
		byName:     map[string]*upstream{},
		linkFreeAt: map[[2]int]time.Time{},
		prefilled:  map[uint64]bool{},
		result:     newResult(spec),
	}
	s.build()
	s.updateTable()
	for classIndex := range spec.Classes {
		s.scheduleArrival(classIndex)
	}
	for _, d := range spec.Disturbances {
		s.scheduleDisturbance(d)
	}
	s.clock.After(spec.AdvertiseInterval, s.advertise)
	s.clock.After(spec.Duration, func() {
		s.result.Learned = s.nodes[0].dispatcher.Profile(enginePool, s.clock.Now())
	})
	longestDeadline := time.Duration(0)
	for _, class := range spec.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	s.clock.Run(epoch.Add(spec.Duration + 2*longestDeadline))
	for _, u := range s.engines {
		s.result.Preemptions += u.engine.Preemptions()
	}
	return s.result
}

func (s *Site) build() {
	for i := range s.spec.Engines {
		s.addUpstream(&s.engines, fmt.Sprintf("engine-%d", i), i).engine = engine.New(s.spec.Engine, s.recordPrefill)
	}
	for i := range s.spec.Services {
		s.addUpstream(&s.services, fmt.Sprintf("service-%d", i), i)
	}
	pools := map[string]route.Pool{
		enginePool:  {Engine: s.spec.routeEngine()},
		servicePool: {},
	}
	for i := range s.spec.Nodes {
		region := i % s.spec.Regions
		s.nodes = append(s.nodes, &node{
			region: region,
			dispatcher: &dispatch.Dispatcher{
				AvailabilityZone: regionName(region),
				Region:           regionName(region),
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

func (s *Site) addUpstream(list *[]*upstream, name string, i int) *upstream {
	u := &upstream{
		name:   name,
		region: i % s.spec.Regions,
		jobs:   map[*engine.Job]*upstreamAttempt{},
	}
	*list = append(*list, u)
	s.byName[name] = u
	return u
}

// regionName returns the name of a region, which is also the name of its only availability zone.
func regionName(region int) string { return fmt.Sprintf("region-%d", region) }

// updateTable replaces the upstream table, which all nodes share, by the upstreams that are up.
func (s *Site) updateTable() {
	var rows []wire.Machine
	for _, u := range s.engines {
		if !u.down {
			rows = append(rows, u.tableRow(enginePool, replica.KindEngine, s.spec.Engine.Slots))
		}
	}
	for _, u := range s.services {
		rows = append(rows, u.tableRow(servicePool, replica.KindService, s.spec.ServiceSlots))
	}
	s.table.Update(rows)
	for _, n := range s.nodes {
		n.dispatcher.Prune()
	}
}

func (u *upstream) tableRow(pool, kind string, slots int) wire.Machine {
	return wire.Machine{
		Name:             u.name,
		Kind:             kind,
		Pool:             pool,
		Address:          u.name,
		AvailabilityZone: regionName(u.region),
		Region:           regionName(u.region),
		Slots:            slots,
	}
}

// scheduleArrival schedules the next request of a class; the times between arrivals are exponentially distributed.
func (s *Site) scheduleArrival(classIndex int) {
	class := &s.spec.Classes[classIndex]
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
		s.arrive(classIndex)
		s.scheduleArrival(classIndex)
	})
}

func (s *Site) scheduleDisturbance(d Disturbance) {
	affected := s.engines[min(d.Skip, len(s.engines)):min(d.Skip+d.Count, len(s.engines))]
	switch d.Kind {
	case Crash:
		s.clock.After(d.Start, func() { s.crash(affected) })
		s.clock.After(d.Start+d.Duration, func() { s.restart(affected) })
	case Shed:
		s.clock.After(d.Start, func() { setShedding(affected, true) })
		s.clock.After(d.Start+d.Duration, func() { setShedding(affected, false) })
	case Slow:
		s.clock.After(d.Start, func() { setSlowdown(affected, d.Factor) })
		s.clock.After(d.Start+d.Duration, func() { setSlowdown(affected, 1) })
	}
}

func setSlowdown(affected []*upstream, factor float64) {
	for _, u := range affected {
		u.engine.Slowdown = factor
	}
}

func setShedding(affected []*upstream, shedding bool) {
	for _, u := range affected {
		u.shedding = shedding
	}
}

// crash stops engines, which lose their cache and their requests. They stay in the upstream table for TableUpdateDelay.
func (s *Site) crash(affected []*upstream) {
	for _, u := range affected {
		lost := u.sortedAttempts()
		u.down = true
		u.engine = engine.New(s.spec.Engine, s.recordPrefill)
		u.jobs = map[*engine.Job]*upstreamAttempt{}
		u.advanceSequence++
		for _, a := range lost {
			a.scheduleFailure(attempt.Lost)
		}
	}
	s.clock.After(s.spec.TableUpdateDelay, s.updateTable)
}

func (s *Site) restart(affected []*upstream) {
	for _, u := range affected {
		u.down = false
	}
	s.clock.After(s.spec.TableUpdateDelay, s.updateTable)
}

// advertise sends the load of each node to other nodes and schedules the next round.
func (s *Site) advertise() {
	if s.spec.Zones > 0 {
		s.advertiseThroughRelays()
	} else {
		s.advertiseToPeers()
	}
	if s.clock.Now().Sub(epoch) < s.spec.Duration {
		s.clock.After(s.spec.AdvertiseInterval, s.advertise)
	}
}

func (s *Site) advertiseToPeers() {
	peers := len(s.nodes) - 1
	if s.spec.AdvertiseFanout > 0 {
		peers = min(peers, s.spec.AdvertiseFanout)
	}
	for i, from := range s.nodes {
		digest := from.dispatcher.Advertise(s.clock.Now())
		name := fmt.Sprintf("node-%d", i)
		for next := range peers {
			to := s.nodes[(i+1+next)%len(s.nodes)]
			s.clock.After(s.delay(from.region, to.region), func() { to.dispatcher.ReceiveDigest(name, digest, s.clock.Now()) })
		}
	}
}

// advertiseThroughRelays sends the load of each node to the relay of its zone, which answers with the sum of the loads
// of all nodes, as lagoongw does on large sites. The relay of a zone is its first node.
func (s *Site) advertiseThroughRelays() {
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
			s.clock.After(s.spec.IntraRegionDelay, func() { from.dispatcher.ReceiveSiteDigest(sum, digest, s.clock.Now()) })
		})
	}
	if s.rounds%roundsPerRelayExchange != 0 {
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

// delay returns the one-way network delay between two regions.
func (s *Site) delay(from, to int) time.Duration {
	if from == to {
		return s.spec.IntraRegionDelay
	}
	return s.spec.InterRegionDelay
}

// transferTime returns the time to send bytes from one region to another, including the time that they wait for the
// bytes sent before them on the same link.
func (s *Site) transferTime(from, to, bytes int) time.Duration {
	delay := s.delay(from, to)
	if from == to || s.spec.LinkMegabitsPerSecond == 0 {
		return delay
	}
	s.result.InterRegionBytes += bytes
	link := [2]int{from, to}
	start := s.clock.Now()
	if freeAt := s.linkFreeAt[link]; freeAt.After(start) {
		start = freeAt
	}
	const bitsPerByte = 8
	end := start.Add(time.Duration(float64(bytes*bitsPerByte) / s.spec.LinkMegabitsPerSecond * float64(time.Microsecond)))
	s.linkFreeAt[link] = end
	return end.Sub(s.clock.Now()) + delay
}

// drawSize returns a random size of at least 1 from a log-normal distribution with the given mean.
func (s *Site) drawSize(mean int) int {
	const sigma = 0.5
	factor := math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
	return max(int(float64(mean)*factor), 1)
}
