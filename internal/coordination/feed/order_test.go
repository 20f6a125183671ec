package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNodesOfARegionReadOneAfterAnother guards against reads of all nodes of a region at the same moment, which fill the link to the
// store. The first ones read early enough for the others to ask them.
func TestNodesOfARegionReadOneAfterAnother(t *testing.T) {
	const step = 10 * time.Millisecond
	start := time.Unix(1000, 0)
	// times returns when a node is due, and when it reads the store.
	times := func(order Order) (due, read time.Duration) {
		s := ReadSchedule{Period: 1500 * time.Millisecond}
		s.MarkCurrent(start)
		for ; !s.Due(order, start.Add(due)); due += step {
		}
		for read = due; !s.ReadDue(order, start.Add(read)); read += step {
		}
		return due, read
	}
	is := is.New(t)
	const firstFar = maxPushRank + 1
	var lastRead time.Duration
	for place := range 60 {
		due, read := times(Order{Rank: firstFar + place, RegionRank: place})
		is.True(due <= 2500*time.Millisecond)
		is.True(due == read || place >= regionReaders)
		is.True(place == 0 || read >= lastRead+150*time.Millisecond)
		lastRead = read
	}
	for rank := range firstFar { // as on a small site
		due, read := times(Order{Rank: rank, RegionRank: rank})
		is.Equal(due, read)
	}
}
