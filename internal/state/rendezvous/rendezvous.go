package rendezvous

import (
	"cmp"
	"slices"
)

// Hash returns the 64-bit FNV-1a hash of a text (Fowler, Noll and Vo), which is the same at every node.
func Hash(text string) uint64 {
	const (
		offsetBasis = 14695981039346656037
		prime       = 1099511628211
	)
	hash := uint64(offsetBasis)
	for i := range len(text) {
		hash ^= uint64(text[i])
		hash *= prime
	}
	return hash
}

// Mix combines the hashes of a key and a node into the score of the node for the key, with the finalizer of SplitMix64
// (Steele, Lea and Flood).
func Mix(key, node uint64) uint64 {
	z := key ^ (node * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Score returns the score of a node for a key (Thaler and Ravishankar, highest random weight).
func Score(key, node string) uint64 {
	return Mix(Hash(key), Hash(node))
}

// Owner returns the node with the highest score for the key, or the empty string if there are no nodes.
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

// Compare returns a negative number if node a comes before node b in the order for the key, which is descending by score, and a
// positive one if it comes after.
func Compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
}

// Rank returns the nodes in descending order of their scores for the key.
func Rank(key string, nodes []string) []string {
	ranked := append([]string{}, nodes...)
	slices.SortFunc(ranked, func(a, b string) int { return Compare(key, a, b) })
	return ranked
}
