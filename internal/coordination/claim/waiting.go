package claim

import "sort"

// sortedWaiting returns the waiting attempts sorted by ID, so that simulations are reproducible.
func (c *Claimer) sortedWaiting() []*attempt {
	list := make([]*attempt, 0, len(c.waiting))
	for _, a := range c.waiting {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
