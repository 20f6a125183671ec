package feed

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// TestJoinedUpdatesLeaveNoPeerBehind applies the joined update of each pair to a topic that has all records before the
// first: the topic either ends where both would have brought it, or sees that it has to read.
func TestJoinedUpdatesLeaveNoPeerBehind(t *testing.T) {
	record := func(key string, offset, size int) []wire.FeedRecord {
		return []wire.FeedRecord{{Key: key, Value: strings.Repeat("v", size), Offset: offset}}
	}
	first := wire.FeedUpdate{From: 1, Next: 2, Records: record("a", 1, 1)}
	for name, c := range map[string]struct {
		waiting, newer wire.FeedUpdate
		gap            bool
	}{
		"follows":            {waiting: first, newer: wire.FeedUpdate{From: 2, Next: 3, Records: record("b", 2, 1)}},
		"overlaps":           {waiting: first, newer: wire.FeedUpdate{From: 1, Next: 3, Records: record("b", 2, 1)}},
		"nothing new":        {waiting: first, newer: wire.FeedUpdate{From: 2, Next: 2}},
		"whole":              {waiting: first, newer: wire.FeedUpdate{Next: 3, Whole: true, Records: record("b", 2, 1)}},
		"after a whole one":  {waiting: wire.FeedUpdate{Next: 2, Whole: true, Records: record("a", 1, 1)}, newer: wire.FeedUpdate{From: 2, Next: 3, Records: record("b", 2, 1)}},
		"missing records":    {waiting: first, newer: wire.FeedUpdate{From: 3, Next: 4, Records: record("b", 3, 1)}, gap: true},
		"too large":          {waiting: first, newer: wire.FeedUpdate{From: 2, Next: 3, Records: record("b", 2, 2000)}, gap: true},
		"omitted before":     {waiting: Omit(first), newer: wire.FeedUpdate{From: 2, Next: 3}, gap: true},
		"omitted after":      {waiting: first, newer: Omit(wire.FeedUpdate{From: 2, Next: 3}), gap: true},
		"of a later era":     {waiting: first, newer: wire.FeedUpdate{Era: 1, From: 1, Next: 2}, gap: true},
		"watermark then one": {waiting: wire.FeedUpdate{From: 1, Next: 1}, newer: first},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			joined := Join(c.waiting, c.newer, 1000)
			is.True(Size(joined) <= 1000)
			topic := Topic{Rank: func(wire.FeedRecord) Rank { return Rank{} }}
			topic.Apply(wire.FeedUpdate{Whole: true, Next: 1})
			_, gap := topic.Apply(joined)
			is.Equal(gap, c.gap)
			is.True(gap || topic.Next() == max(c.waiting.Next, c.newer.Next))
		})
	}
}
