package capacity

import (
	"cmp"
	"slices"
	"time"
)

const (
	// bootReserve is added to the boot time of an upstream for the horizon of the prediction: an order is late by the
	// second between two decisions, the digests of the demand and the registry.
	bootReserve = 5 * time.Second
	// unknownTime is the traffic that must have been seen before the demand counts as known. Until then as many upstreams are
	// kept as were found, most of them as spot ones: the first requests find no prompts cached and come all at once.
	unknownTime = 15 * time.Second
	// learnTime is how long after the duty was gained nothing is scaled down.
	learnTime = 3 * time.Second
	// minKnownShare is the share of the live nodes whose demand must be known to scale down.
	minKnownShare = 0.8
	// troubleTime is how long after a fault nothing is scaled down, and sufficedTime how long a lower number must have
	// sufficed.
	troubleTime  = 10 * time.Second
	sufficedTime = 10 * time.Second
	// downInterval is the time between two steps down, and downShare the share of the pool that a step takes at most.
	downInterval = 2 * time.Second
	downShare    = 0.1
	// replaceShare is the share of the pool that a step takes at most of the upstreams on demand that spot ones replace. The
	// step may be larger, since the number of upstreams stays.
	replaceShare = 0.2
	// spareShare is the share above the base at which spot upstreams are not given up yet. Without it, each small change
	// of the demand would cost an engine its cached prompts.
	spareShare = 0.05
	// spareOnDemand is the number of upstreams on demand above their reserve that are not given up, for the same reason.
	spareOnDemand = 1
	// orderInterval is the least time between two orders for a subject, repeatInterval that between repeats while the
	// registry does not show the ordered number.
	orderInterval  = time.Second
	repeatInterval = 5 * time.Second
	// minDry and maxDry limit the time before spot upstreams are asked for again in a zone that had none, and the time
	// between two orders for a subject that are answered with an error.
	minDry = 2 * time.Second
	maxDry = 8 * time.Second
	// maxShortShare limits the upstreams that replace those that were ordered and do not serve, as a share of the base. Where
	// none at all serve, as seen from nodes that are cut off, more would not serve either.
	maxShortShare = 0.25
)

// Settings are the operator's limits for a pool and the prices of its upstreams.
type Settings struct {
	// Min and Max limit the upstreams of both kinds in a zone.
	Min int
	Max int
	// Boot is the time from an order until a new upstream serves.
	Boot time.Duration
	// SpotPrice is the price of a spot upstream relative to one on demand; spot upstreams are used if it is above 0 and
	// below 1.
	SpotPrice float64
	// ZonePrices holds the price of an upstream on demand by availability zone.
	ZonePrices map[string]float64
	// Utilization is the share of their time or slots that upstreams are to be busy for, Reserve the share of the wanted
	// upstreams that are on demand, and Least the least number of upstreams.
	Utilization float64
	Reserve     float64
	Least       int
}

// Upstream is one upstream in the registry.
type Upstream struct {
	Name    string
	Zone    string
	Spot    bool
	Leaving bool
	// Down reports that the nodes cannot use the upstream though it is listed.
	Down bool
	// Notice is the time to leave that the platform has given to an upstream that it reclaims, zero if there is none.
	Notice time.Duration
	// Boot and Version identify the run of the upstream and its software.
	Boot    int
	Version string
}

// Input is what is known of a pool at the time of a decision.
type Input struct {
	// Gained is when this node began to hold the duty.
	Gained time.Time
	// Demand is the demand of all nodes. KnownShare is the share of the live nodes that it is known of.
	Demand     Demand
	KnownShare float64
	Upstreams  []Upstream
	// Former holds what was last ordered for the pool before Gained, as far as it is known.
	Former []Order
}

// Order states how many upstreams of a kind a pool is to have in an availability zone.
type Order struct {
	Pool    string
	Zone    string
	Desired int
	Spot    bool
	Reason  string
}

// Outcome is the result of an order.
type Outcome int

// Outcomes of orders. Unknown means that there was no answer, so that the order may be executed later. Rejected means that the
// platform does not execute the order, Failed that it answered with an error and may have executed it; only the orders for the
// same zone and kind back off after these two.
const (
	Accepted Outcome = iota
	NoneAvailable
	NotSent
	Unknown
	Rejected
	Failed
)

// subject is what an order is about, within a pool.
type subject struct {
	zone string
	spot bool
}

// group is what is known of the upstreams of a subject.
type group struct {
	// planned is the number that is to be ordered, ordered the number that was last ordered, and known whether that order
	// was answered.
	planned int
	ordered int
	known   bool
	sentAt  time.Time
	// present is the number of listed upstreams that are not leaving, serving the number of them that are not down.
	present int
	serving int
	// expected is the number of upstreams that are still to leave because fewer were ordered.
	expected int
	// shortSince is when fewer than planned began to serve, zero if enough do.
	shortSince time.Time
	// dryUntil is when spot upstreams may be asked for again, dryFor the time of the last wait.
	dryUntil time.Time
	dryFor   time.Duration
	// retryAt is when the next order may be sent after one that was answered with an error, retryFor the time of the last
	// wait.
	retryAt  time.Time
	retryFor time.Duration
	// reclaimed reports that the platform took all of them back since the last order. It may bring some again by itself,
	// which then count as ordered.
	reclaimed bool
	// inherited reports that the ordered number is the former holder's, and that this one has not repeated it yet.
	inherited bool
	reason    string
}

// Planner decides for one pool. Its exported fields must be set before Plan; the settings may be replaced between two
// calls. It is not safe for concurrent use.
type Planner struct {
	Pool     string
	Settings Settings

	gained  time.Time
	firstAt time.Time
	// initial is the base that the upstreams found at the beginning are enough for.
	initial   int
	groups    map[subject]*group
	seen      map[string]Upstream
	forecast  forecast
	bases     []sample
	troubleAt time.Time
	downAt    time.Time
	// replacedAt is when upstreams on demand were last given up for spot ones.
	replacedAt time.Time
	state      State
}

// Plan returns the orders that are due, increases first. It is to be called once a second while the duty is held.
func (p *Planner) Plan(now time.Time, input Input) []Order {
	if input.Gained != p.gained || p.groups == nil {
		p.reset(now, input)
	}
	p.observe(now, input)
	p.forecast.add(now, input.Demand, input.KnownShare >= minKnownShare, p.Settings)
	base := p.base(now)
	p.bases = keepSince(append(p.bases, sample{
		at:    now,
		value: float64(base),
	}), now.Add(-sufficedTime))
	ideal := p.divide(base, now)
	p.raise(ideal, base)
	p.lower(ideal, now, input)
	p.state = p.snapshot(input, base, ideal)
	return p.due(now)
}

// reset forgets what was known under an earlier holdership. The upstreams that are present count as ordered, and more where the
// former holder ordered more: its orders are in force, and those upstreams may be starting.
func (p *Planner) reset(now time.Time, input Input) {
	*p = Planner{
		Pool:     p.Pool,
		Settings: p.Settings,
		gained:   input.Gained,
		firstAt:  now,
		groups:   map[subject]*group{},
		seen:     map[string]Upstream{},
	}
	for zone := range p.Settings.ZonePrices {
		p.group(zone, false)
	}
	for _, u := range input.Upstreams {
		g := p.group(u.Zone, u.Spot)
		p.seen[u.Name] = u
		if !u.Leaving {
			g.planned++
			g.ordered++
		}
	}
	for _, order := range input.Former {
		if g := p.group(order.Zone, order.Spot); order.Desired > g.ordered {
			g.planned, g.ordered, g.inherited = order.Desired, order.Desired, true
		}
	}
	p.initial = p.found()
}

// Ordered returns the numbers of upstreams that were last ordered, by zone and kind. Those taken over count as ordered.
func (p *Planner) Ordered() []Order {
	var orders []Order
	for _, zone := range p.zones() {
		for _, spot := range []bool{false, true} {
			orders = append(orders, Order{
				Pool:    p.Pool,
				Zone:    zone,
				Desired: p.group(zone, spot).ordered,
				Spot:    spot,
			})
		}
	}
	return orders
}

// found returns the base that the planned upstreams are enough for. Spot upstreams show that a holder has planned before, with
// those of a zone and some on demand to spare, which must not be planned once more.
func (p *Planner) found() int {
	planned := func(_ subject, g *group) int { return g.planned }
	if p.total(true) == 0 {
		return p.total(false)
	}
	return max(p.remaining(planned)-spareOnDemand, 0)
}

// group returns the group of a subject. Every zone has a group of each kind.
func (p *Planner) group(zone string, spot bool) *group {
	if p.groups[subject{zone: zone}] == nil {
		p.groups[subject{zone: zone}] = &group{known: true}
		p.groups[subject{
			zone: zone,
			spot: true,
		}] = &group{known: true}
	}
	return p.groups[subject{
		zone: zone,
		spot: spot,
	}]
}

// settleTime is how long after the first decision upstreams may appear that the former holder ordered.
func (p *Planner) settleTime() time.Duration { return p.Settings.Boot + orderInterval }

// observe counts the listed upstreams and notes those that left without an order.
func (p *Planner) observe(now time.Time, input Input) {
	for _, g := range p.groups {
		g.present, g.serving = 0, 0
	}
	listed := make(map[string]Upstream, len(input.Upstreams))
	for _, u := range input.Upstreams {
		listed[u.Name] = u
		g := p.group(u.Zone, u.Spot)
		if u.Leaving {
			continue
		}
		g.present++
		if !u.Down {
			g.serving++
		}
	}
	for name, before := range p.seen {
		after, still := listed[name]
		if still && after.Boot == before.Boot && after.Version == before.Version && after.Leaving == before.Leaving {
			continue
		}
		if !before.Leaving {
			p.departed(before, after, now)
		}
	}
	p.seen = listed
	for _, g := range p.groups {
		settling := now.Sub(p.firstAt) < p.settleTime() && g.sentAt.IsZero()
		if settling || g.reclaimed {
			g.ordered = max(g.ordered, g.present)
			g.planned = max(g.planned, g.ordered)
		}
		switch {
		case g.serving >= g.planned:
			g.shortSince = time.Time{}
		case g.shortSince.IsZero():
			g.shortSince = now
		}
	}
}

// departed notes that an upstream began to leave, vanished or restarted; after is zero if it vanished. If no order explains
// it, it is a fault. The platform reclaims all spot upstreams of a zone at once, but the registry may show it one by one.
func (p *Planner) departed(before, after Upstream, now time.Time) {
	g := p.group(before.Zone, before.Spot)
	if g.expected > 0 {
		g.expected--
		return
	}
	p.troubleAt = now
	if before.Spot && (g.present == 0 || after.Leaving && after.Notice > 0) {
		if !now.Before(g.dryUntil) {
			g.dry(now)
		}
		g.planned, g.ordered, g.reclaimed = min(g.planned, g.present), min(g.ordered, g.present), true
	}
}

// dry notes that a zone has no spot upstreams to offer.
func (g *group) dry(now time.Time) {
	g.dryFor = min(max(2*g.dryFor, minDry), maxDry)
	g.dryUntil = now.Add(g.dryFor)
}

// postpone notes that an order was answered with an error.
func (g *group) postpone(now time.Time) {
	g.retryFor = min(max(2*g.retryFor, minDry), maxDry)
	g.retryAt = now.Add(g.retryFor)
}

// base returns the number of upstreams that must serve even after the spot upstreams of one zone were lost.
func (p *Planner) base(now time.Time) int {
	base := max(p.forecast.upstreams(now, p.Settings), p.Settings.Least)
	if !p.forecast.known(now) {
		base = max(base, p.initial)
	}
	base += min(p.short(now), roundUp(maxShortShare*float64(base)))
	return min(base, len(p.groups)/2*p.Settings.Max)
}

// short returns how many upstreams were planned for long enough to serve, and don't: they did not start, or are down.
func (p *Planner) short(now time.Time) int {
	sum := 0
	for _, g := range p.groups {
		if !g.shortSince.IsZero() && now.Sub(g.shortSince) >= p.Settings.Boot+bootReserve {
			sum += g.planned - g.serving
		}
	}
	return sum
}

// Answered records the outcome of an order that Plan returned.
func (p *Planner) Answered(now time.Time, order Order, outcome Outcome) {
	g := p.group(order.Zone, order.Spot)
	switch {
	case outcome == NotSent:
		return
	case outcome == NoneAvailable, outcome == Rejected && order.Spot:
		g.sentAt = now
		g.dry(now)
		if g.inherited {
			// The zone has lost its spot upstreams since the former holder's order. Those that still appear count as ordered.
			g.ordered, g.reclaimed, g.inherited = g.present, true, false
		}
		g.planned = min(g.planned, max(g.ordered, g.present))
		return
	case outcome == Rejected:
		g.sentAt = now
		g.postpone(now)
		return
	case outcome == Failed:
		g.postpone(now)
	case outcome == Accepted:
		g.dryFor, g.retryFor = 0, 0
	}
	if fewer := min(g.ordered, g.present) - order.Desired; fewer > 0 {
		g.expected += fewer
	}
	if order.Desired >= g.present {
		g.expected = 0
	}
	g.ordered, g.sentAt, g.known = order.Desired, now, outcome == Accepted
	g.reclaimed, g.inherited = false, false
}

// due returns the orders that are to be sent now, increases first and the largest of them first.
func (p *Planner) due(now time.Time) []Order {
	type change struct {
		order Order
		more  int
	}
	var changes []change
	for s, g := range p.groups {
		if !g.due(now) {
			continue
		}
		changes = append(changes, change{
			order: Order{
				Pool:    p.Pool,
				Zone:    s.zone,
				Spot:    s.spot,
				Desired: g.planned,
				Reason:  g.reason,
			},
			more: g.planned - g.present,
		})
	}
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.more, a.more), cmp.Compare(a.order.Zone, b.order.Zone), compareBool(b.order.Spot, a.order.Spot))
	})
	orders := make([]Order, len(changes))
	for i, c := range changes {
		orders[i] = c.order
	}
	return orders
}

// due reports whether an order for the group is to be sent.
func (g *group) due(now time.Time) bool {
	if !g.sentAt.IsZero() && now.Sub(g.sentAt) < orderInterval {
		return false
	}
	if now.Before(g.dryUntil) || now.Before(g.retryAt) {
		return false
	}
	if g.planned != g.ordered || !g.known {
		return true
	}
	differs := g.present < g.ordered || g.present > g.ordered && !g.sentAt.IsZero()
	return differs && now.Sub(g.sentAt) >= repeatInterval
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
