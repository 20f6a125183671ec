package admission

import "math"

// Overcommit is the factor by which the limits of all nodes together exceed a pool's slots; the engines queue the
// excess by priority.
const Overcommit = 1.25

// NodeLimit returns how many requests one node may run on a pool at once: its share of the overcommitted slots in
// proportion to its demand, but at least half of an even share. Without any demand, it is an even share.
func NodeLimit(slots, nodes, ownDemand, allDemand int) int {
	if slots <= 0 {
		return 0
	}
	nodes = max(nodes, 1)
	even := 1.0 / float64(nodes)
	fraction := even
	if allDemand > 0 {
		byDemand := float64(ownDemand) / float64(max(allDemand, ownDemand))
		fraction = math.Max(byDemand, even/2)
	}
	limit := math.Ceil(float64(slots) * Overcommit * fraction)
	return int(min(limit, float64(slots)*Overcommit))
}
