package entry

import (
	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
)

// MaxAddresses bounds an answer.
const MaxAddresses = 6

// Location is where a caller or a node stands.
type Location struct {
	AvailabilityZone string
	Region           string
}

// Order returns the caller addresses of the live members, those near the caller first, ranked by team within a zone.
func Order(members []wire.Member, team string, caller Location) []string {
	near := map[int][]string{}
	address := map[string]string{}
	for _, m := range members {
		if membership.State(m.State) != membership.Alive || m.CallerAddress == "" {
			continue
		}
		distance := distanceOf(m, caller)
		near[distance] = append(near[distance], m.Name)
		address[m.Name] = m.CallerAddress
	}
	addresses := []string{}
	for distance := sameZone; distance <= otherRegion; distance++ {
		for _, name := range rendezvous.Rank("team/"+team, near[distance]) {
			if len(addresses) == MaxAddresses {
				return addresses
			}
			addresses = append(addresses, address[name])
		}
	}
	return addresses
}

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

// RegionOf returns the region of an availability zone as far as the members show it.
func RegionOf(members []wire.Member, zone, otherwise string) string {
	for _, m := range members {
		if m.AvailabilityZone == zone {
			return m.Region
		}
	}
	return otherwise
}
