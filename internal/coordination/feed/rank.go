package feed

import (
	"cmp"
	"math"
)

// Rank orders the records of a key by their content, where offsets can't: by version, and then by precedence among
// records of one version.
type Rank struct {
	Version    int
	Precedence int
}

// LowestRank is below, and HighestRank above the rank of every valid record.
var (
	LowestRank  = Rank{Version: math.MinInt}
	HighestRank = Rank{Version: math.MaxInt}
)

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Version, other.Version), cmp.Compare(r.Precedence, other.Precedence))
}
