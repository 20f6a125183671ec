package feed

// regionReaders is the number of nodes of each region that read the store when updates are late, before the others of the region do.
const regionReaders = 3

// Order is the place of a node in the order in which nodes read the store, 0 first.
type Order struct {
	// Rank is the place among all nodes, and RegionRank that among the nodes of its region.
	Rank       int
	RegionRank int
}

// dueRank returns the rank that decides how long the node waits for updates. The first nodes of a region read the store early
// enough for the others, which ask them and may then still have to read the store themselves.
func (o Order) dueRank() int {
	if o.Rank <= maxPushRank {
		return o.Rank
	}
	return 1 + min(o.RegionRank, regionReaders)
}

// AsksRegion reports whether the node asks those of its region before it reads the store: the reads of hundreds of nodes would fill
// the link between regions, over which the updates come, and make them later still.
func (o Order) AsksRegion() bool { return o.Rank > maxPushRank && o.RegionRank >= regionReaders }
