package claim

import "sort"

// sortedWaiting returns the waiting attempts by their identity, so that runs repeat exactly.
func (c *Claimer) sortedWaiting() []*attempt {
	list := make([]*attempt, 0, len(c.waiting))
	for _, waiting := range c.waiting {
		list = append(list, waiting)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}
