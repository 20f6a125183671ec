package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"lagoongw/internal/state/rendezvous"
)

const (
	// keepers is the number of nodes that are told of a stream, besides the one where it began.
	keepers = 3
	// asked is the number of nodes that are asked for the origin of a stream. It is higher than keepers, since the nodes
	// may have changed since the stream began.
	asked = 2 * keepers
	// maxAskAll is the largest number of nodes all of which are asked.
	maxAskAll = 16
)

// Node is a node that may keep origins.
type Node struct {
	Name             string
	AvailabilityZone string
}

// Keepers returns the names of the nodes to tell of a stream.
func Keepers(stream ID, nodes []Node) []string { return rank(stream, nodes, keepers) }

// Candidates returns the names of the nodes to ask for the origin of a stream.
func Candidates(stream ID, nodes []Node) []string {
	if len(nodes) <= maxAskAll {
		return rank(stream, nodes, len(nodes))
	}
	return rank(stream, nodes, asked)
}

// rank returns the first nodes for a stream by rendezvous hashing. The first ones of different availability zones come
// first, so that the loss of one zone spares some.
func rank(stream ID, nodes []Node, count int) []string {
	type scored struct {
		node  Node
		score uint64
	}
	key := binary.BigEndian.Uint64(stream[:])
	ranked := make([]scored, len(nodes))
	for i, node := range nodes {
		ranked[i] = scored{
			node:  node,
			score: rendezvous.Mix(key, rendezvous.Hash(node.Name)),
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node.Name, b.node.Name))
	})
	firsts := make([]string, 0, count)
	var others []string
	zones := map[string]bool{}
	for _, candidate := range ranked {
		if zones[candidate.node.AvailabilityZone] {
			others = append(others, candidate.node.Name)
			continue
		}
		zones[candidate.node.AvailabilityZone] = true
		firsts = append(firsts, candidate.node.Name)
	}
	firsts = append(firsts, others...)
	return firsts[:min(count, len(firsts))]
}
