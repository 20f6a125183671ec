package feed

import (
	"slices"

	"lagoongw/internal/protocol/wire"
)

// maxBranches is the number of nodes of its own availability zone to which a node sends a large update. At 50 KB each and
// 10 Mbit/s, the slowest link of a node, that takes a third of a second.
const maxBranches = 8

// Branch is a node that is sent a large update, and those to which it passes it on.
type Branch struct {
	Head wire.Member
	Rest []wire.Member
}

// Branches divides the nodes that are to get a large update among those that a node of an availability zone sends it to: a
// node of each other zone, so that one copy goes there, and up to maxBranches nodes of its own. The nodes of a branch are all
// of one zone.
func Branches(targets []wire.Member, zone string) (branches []Branch) {
	var zones []string
	byZone := map[string][]wire.Member{}
	for _, target := range targets {
		if _, known := byZone[target.AvailabilityZone]; !known {
			zones = append(zones, target.AvailabilityZone)
		}
		byZone[target.AvailabilityZone] = append(byZone[target.AvailabilityZone], target)
	}
	for _, name := range zones {
		members, size := byZone[name], len(byZone[name])
		if name == zone {
			size = (size + maxBranches - 1) / maxBranches
		}
		for part := range slices.Chunk(members, size) {
			branches = append(branches, Branch{
				Head: part[0],
				Rest: part[1:],
			})
		}
	}
	return branches
}
