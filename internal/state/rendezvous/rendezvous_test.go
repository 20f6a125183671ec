package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func nodes(count int) []string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprintf("entry-%d", i))
	}
	return list
}

func TestKeysSpreadEvenly(t *testing.T) {
	const (
		keys      = 9000
		nodeCount = 9
		tolerance = 0.25
	)
	owned := map[string]int{}
	for i := range keys {
		owned[Owner(fmt.Sprintf("team/%d", i), nodes(nodeCount))]++
	}
	for node, count := range owned {
		if share := float64(count) * nodeCount / keys; share < 1-tolerance || share > 1+tolerance {
			t.Errorf("%s owns %.2f of an even share", node, share)
		}
	}
}

func TestRemovingANodeMovesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	for i := range 1000 {
		key := fmt.Sprintf("team/%d", i)
		before := Owner(key, nodes(9))
		if before != "entry-8" {
			is.Equal(Owner(key, nodes(8)), before)
		}
		is.Equal(Rank(key, nodes(9))[0], before)
	}
}
