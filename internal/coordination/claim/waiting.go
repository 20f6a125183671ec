package claim

import "sort"

// sortedWaiting returns the waiting attempts sorted by ID, so that simulations are reproducible.
func (c *Claimer) sortedWaiting() []*attempt {
	list := make([]*attempt, 0, len(c.waiting))
	for _, waiting := range c.waiting {
		list = append(list, waiting)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
