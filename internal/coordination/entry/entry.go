package entry

import (
	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
)

// MaxAddresses is the maximum number of addresses that Order returns.
const MaxAddresses = 6

// Location is the availability zone and region of a caller or a node.
type Location struct {
	AvailabilityZone string
	Region           string
}

// Order returns the caller addresses of live members, at most MaxAddresses: first those in the caller's availability
// zone, then those in its region, then the others, each group ranked by rendezvous hashing with the team.
func Order(members []wire.Member, team string, caller Location) []string {
	byDistance := map[int][]string{}
	callerAddress := map[string]string{}
	for _, m := range members {
		if membership.State(m.State) != membership.Alive || m.CallerAddress == "" {
			continue
		}
		distance := distanceOf(m, caller)
		byDistance[distance] = append(byDistance[distance], m.Name)
		callerAddress[m.Name] = m.CallerAddress
	}
	addresses := []string{}
	for distance := sameZone; distance <= otherRegion; distance++ {
		for _, name := range rendezvous.Rank("team/"+team, byDistance[distance]) {
			if len(addresses) == MaxAddresses {
				return addresses
			}
			addresses = append(addresses, callerAddress[name])
		}
	}
	return addresses
}

// Distances of a member from a caller, from near to far.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

func distanceOf(m wire.Member, caller Location) int {
	switch {
	case m.AvailabilityZone == caller.AvailabilityZone:
		return sameZone
	case m.Region == caller.Region:
		return sameRegion
	}
	return otherRegion
}

// RegionOf returns the region of an availability zone according to its members, or fallback if the zone has no members.
func RegionOf(members []wire.Member, zone, fallback string) string {
	for _, m := range members {
		if m.AvailabilityZone == zone {
			return m.Region
		}
	}
	return fallback
}
