package capacity

import (
	"math"
	"slices"
	"time"
)

// maxZoneShare limits the spot upstreams of a zone to a multiple of the mean of the zones.
const maxZoneShare = 2

// division is the number of upstreams of each kind that a pool should have by zone, apart from the wish not to move those
// that it has.
type division struct {
	spot     map[string]int
	onDemand map[string]int
	// onDemandTotal is the sum of onDemand.
	onDemandTotal int
}

func (d division) of(s subject) int {
	if s.spot {
		return d.spot[s.zone]
	}
	return d.onDemand[s.zone]
}

func (d division) total() int {
	sum := d.onDemandTotal
	for _, n := range d.spot {
		sum += n
	}
	return sum
}

// zones returns the names of the availability zones, sorted.
func (p *Planner) zones() []string {
	var zones []string
	for s := range p.groups {
		if s.spot {
			zones = append(zones, s.zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// divide divides upstreams over zones and kinds, so that the base remains after the spot upstreams of one zone were lost.
func (p *Planner) divide(base int, now time.Time) division {
	zones := p.zones()
	weights := p.weights(zones)
	reserve := len(zones) * p.Settings.Min
	var d division
	// The reserve is a share of a sum that includes the spot upstreams that it replaces in part. The sum changes little
	// after the first round.
	const rounds = 3
	for range rounds {
		d = p.divideWith(base, reserve, zones, weights, now)
		reserve = max(len(zones)*p.Settings.Min, roundUp(p.Settings.Reserve*float64(d.total())))
	}
	return d
}

// divideWith divides upstreams if at least the given number is to be on demand.
func (p *Planner) divideWith(base, reserve int, zones []string, weights map[string]float64, now time.Time) division {
	d := division{
		spot:     map[string]int{},
		onDemand: map[string]int{},
	}
	p.addOnDemand(&d, reserve, zones, weights)
	best, bestLeft := 0, d.onDemandTotal
	limit := p.maxSpot(base, len(zones))
	for level := 1; level <= limit && bestLeft < base; level++ {
		if left := d.onDemandTotal + p.leftAt(level, d, zones, weights, now); left > bestLeft {
			best, bestLeft = level, left
		}
	}
	for _, zone := range zones {
		d.spot[zone] = p.spotAt(best, d, zone, weights, now)
	}
	p.addOnDemand(&d, d.onDemandTotal+base-bestLeft, zones, weights)
	return d
}

// maxSpot returns the largest number of spot upstreams in a zone.
func (p *Planner) maxSpot(base, zones int) int {
	if p.Settings.SpotPrice <= 0 || p.Settings.SpotPrice >= 1 {
		return 0
	}
	return min(roundUp(maxZoneShare*float64(base)/float64(max(zones, 1))), p.Settings.Max)
}

// spotAt returns the number of spot upstreams in a zone if those of the best weight have the given number.
func (p *Planner) spotAt(level int, d division, zone string, weights map[string]float64, now time.Time) int {
	g := p.group(zone, true)
	if now.Before(g.dryUntil) {
		return min(g.planned, level)
	}
	n := int(math.Round(float64(level) * weights[zone]))
	return max(min(n, p.Settings.Max-d.onDemand[zone]), 0)
}

// leftAt returns the number of spot upstreams that are left after those of the zone with the most were lost.
func (p *Planner) leftAt(level int, d division, zones []string, weights map[string]float64, now time.Time) int {
	sum, most := 0, 0
	for _, zone := range zones {
		n := p.spotAt(level, d, zone, weights, now)
		sum += n
		most = max(most, n)
	}
	return sum - most
}

// addOnDemand raises the number of upstreams on demand to a total, at least the least number in each zone, in proportion to
// the weights and as far as there is room.
func (p *Planner) addOnDemand(d *division, total int, zones []string, weights map[string]float64) {
	for _, zone := range zones {
		if missing := p.Settings.Min - d.onDemand[zone]; missing > 0 {
			d.onDemand[zone] += missing
			d.onDemandTotal += missing
		}
	}
	for d.onDemandTotal < total {
		best, lowest := "", math.Inf(1)
		for _, zone := range zones {
			share := float64(d.onDemand[zone]+1) / weights[zone]
			if d.onDemand[zone]+d.spot[zone] < p.Settings.Max && share < lowest {
				best, lowest = zone, share
			}
		}
		if best == "" {
			return
		}
		d.onDemand[best]++
		d.onDemandTotal++
	}
}

// weights returns how many upstreams each zone gets in proportion to the others. As many of the cheapest zones as make the
// division cheapest get the same; a zone that costs more gets less, but none is left out.
func (p *Planner) weights(zones []string) map[string]float64 {
	prices := make([]float64, 0, len(zones))
	for _, zone := range zones {
		prices = append(prices, p.price(zone))
	}
	slices.Sort(prices)
	reference, lowest, sum := 1.0, math.Inf(1), 0.0
	for i, price := range prices {
		sum += price
		// With the same number in each of n zones, n-1 of them must be enough: the cost is the sum of the prices of n
		// zones for each n-1 upstreams.
		if cost := sum / float64(max(i, 1)); 2*(i+1) >= len(prices) && cost <= lowest {
			reference, lowest = price, cost
		}
	}
	weights := map[string]float64{}
	for _, zone := range zones {
		ratio := min(reference/p.price(zone), 1)
		weights[zone] = ratio * ratio
	}
	return weights
}

// price returns the price of a zone; one without a price counts as usual.
func (p *Planner) price(zone string) float64 {
	if price := p.Settings.ZonePrices[zone]; price > 0 {
		return price
	}
	return 1
}
