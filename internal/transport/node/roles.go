package node

import (
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
)

// isRelay reports whether this node follows the rules stream closely for its availability zone.
func (n *Node) isRelay() bool {
	return n.owns("rules/"+n.AvailabilityZone, n.members.LiveNames(n.AvailabilityZone))
}

// isCheckpointer reports whether this node writes the checkpoints of the rules.
func (n *Node) isCheckpointer() bool {
	return n.owns("checkpoint", n.members.LiveNames(""))
}

// isLeaseCandidate reports whether this node should seek the lease of the engine pool.
func (n *Node) isLeaseCandidate() bool {
	return n.owns("lease", n.members.LiveNames(""))
}

func (n *Node) owns(key string, names []string) bool {
	return rendezvous.Owner(key, names) == n.Name
}

// seedEntries takes the entry VMs of the platform's list, which lags, as members to try.
func (n *Node) seedEntries(machines []wire.Machine) {
	var rows []wire.Member
	for _, machine := range machines {
		if machine.State == replica.StateLeaving || machine.PeerAddress == "" {
			continue
		}
		rows = append(rows, wire.Member{
			Name:             machine.Name,
			Address:          machine.PeerAddress,
			CallerAddress:    machine.Address,
			AvailabilityZone: machine.AvailabilityZone,
			Region:           machine.Region,
		})
	}
	n.members.Seed(rows)
}
