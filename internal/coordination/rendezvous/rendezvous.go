package rendezvous

import (
	"sort"

	"github.com/spaolacci/murmur3"
)

// Score returns the weight of a node for a key (Thaler and Ravishankar, highest random weight).
func Score(key, node string) uint64 {
	const seed = 0x9e3779b9
	return murmur3.Sum64WithSeed([]byte(key+"\x00"+node), seed)
}

// Owner returns the node with the highest score for the key, empty when there are no nodes.
func Owner(key string, nodes []string) string {
	owner := ""
	var best uint64
	for _, node := range nodes {
		score := Score(key, node)
		if owner == "" || score > best || (score == best && node < owner) {
			owner = node
			best = score
		}
	}
	return owner
}

// Rank returns the nodes in descending order of their score for the key.
func Rank(key string, nodes []string) []string {
	ranked := append([]string{}, nodes...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := Score(key, ranked[i]), Score(key, ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
