package node

import (
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
)

// isRelay reports whether this node reads the rules stream without pauses on behalf of its availability zone.
func (n *Node) isRelay() bool {
	return n.owns("rules/"+n.AvailabilityZone, n.members.LiveNames(n.AvailabilityZone))
}

// isCheckpointer reports whether this node writes the checkpoints of the rules.
func (n *Node) isCheckpointer() bool {
	return n.owns("checkpoint", n.members.LiveNames(""))
}

// isLeaseCandidate reports whether this node should try to acquire the lease of the engine pool.
func (n *Node) isLeaseCandidate() bool {
	return n.owns("lease", n.members.LiveNames(""))
}

// owns reports whether rendezvous hashing assigns the key to this node among the named ones.
func (n *Node) owns(key string, names []string) bool {
	return rendezvous.Owner(key, names) == n.Name
}

// seedEntryVMs adds the entry VMs of the platform's VM list to the members, as live ones. The list may be out of date;
// the probes of the membership protocol find those that don't answer.
func (n *Node) seedEntryVMs(machines []wire.Machine) {
	var members []wire.Member
	for _, machine := range machines {
		if machine.State == replica.StateLeaving || machine.PeerAddress == "" {
			continue
		}
		members = append(members, wire.Member{
			Name:             machine.Name,
			Address:          machine.PeerAddress,
			CallerAddress:    machine.Address,
			AvailabilityZone: machine.AvailabilityZone,
			Region:           machine.Region,
		})
	}
	n.members.Seed(members)
}
