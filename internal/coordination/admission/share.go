package admission

import "math"

// Overcommit is how far the nodes together may exceed the slots of a pool; the engines queue the rest by priority.
const Overcommit = 1.25

// NodeLimit returns the part of a pool's slots that one node may use, by its part of the demand of all nodes.
func NodeLimit(slots, nodes, ownDemand, allDemand int) int {
	if slots <= 0 {
		return 0
	}
	nodes = max(nodes, 1)
	even := 1.0 / float64(nodes)
	part := even
	if allDemand > 0 {
		byDemand := float64(ownDemand) / float64(max(allDemand, ownDemand))
		part = math.Max(byDemand, even/2)
	}
	limit := math.Ceil(float64(slots) * Overcommit * part)
	return int(min(limit, float64(slots)*Overcommit))
}
