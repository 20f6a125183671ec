package feed

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lagoongw/internal/protocol/wire"
	"lagoongw/test/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

func put(key, value string, offset int) wire.FeedRecord {
	return wire.FeedRecord{
		Key:    key,
		Value:  value,
		Offset: offset,
	}
}

func TestGapAsksForTheWholeTopic(t *testing.T) {
	is := is.New(t)
	var topic Topic
	_, gap := topic.Apply(wire.FeedUpdate{From: 3, Next: 4, Records: []wire.FeedRecord{put("a", "1", 3)}})
	is.True(gap) // not loaded yet
	changed, gap := topic.Apply(wire.FeedUpdate{
		Whole: true, Next: 4,
		Records: []wire.FeedRecord{put("a", "1", 3), put("b", "1", 1)},
	})
	is.True(!gap)
	is.Equal(len(changed), 1) // a is unchanged
	_, gap = topic.Apply(wire.FeedUpdate{From: 6, Next: 7})
	is.True(gap)
	is.Equal(topic.Next(), 4)
	_, gap = topic.Apply(wire.FeedUpdate{From: 4, Next: 7})
	is.True(!gap)
	is.Equal(topic.Next(), 7)
}

func TestWholeTopicUpdateRemovesMissingRecords(t *testing.T) {
	is := is.New(t)
	var topic Topic
	topic.Apply(wire.FeedUpdate{Whole: true, Next: 4, Records: []wire.FeedRecord{put("a", "1", 3), put("b", "1", 1)}})
	topic.Apply(wire.FeedUpdate{From: 4, Next: 9, Records: []wire.FeedRecord{put("c", "1", 8)}})
	changed, _ := topic.Apply(wire.FeedUpdate{Whole: true, Next: 6, Records: []wire.FeedRecord{put("a", "1", 3)}})
	is.Equal(changed, []wire.FeedRecord{put("b", "", 1)}) // c is newer than the update
	is.Equal(topic.Next(), 9)
	is.Equal(len(topic.Snapshot().Records), 2)
}

// TestCopiesConvergeInAnyOrder applies a reader's updates and snapshots to a node, the updates twice, in random order.
func TestCopiesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader, node Topic
		reader.Apply(wire.FeedUpdate{Whole: true})
		node.Apply(wire.FeedUpdate{Whole: true})
		var updates []wire.FeedUpdate
		for offset := range rapid.IntRange(1, 30).Draw(t, "records") {
			record := put(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")),
				rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"), offset)
			update := wire.FeedUpdate{From: offset, Next: offset + 1, Records: []wire.FeedRecord{record}}
			reader.Apply(update)
			updates = append(updates, update, update, reader.Snapshot())
		}
		newest := map[string]int{}
		for _, update := range rapid.Permutation(updates).Draw(t, "order") {
			before := node.Next()
			changed, _ := node.Apply(update)
			if node.Next() < before {
				t.Fatal("the next offset decreased")
			}
			for _, record := range changed {
				if record.Offset < newest[record.Key] {
					t.Fatal("a record was replaced by an older one")
				}
				newest[record.Key] = record.Offset
			}
		}
		if fmt.Sprint(node.Snapshot()) != fmt.Sprint(reader.Snapshot()) {
			t.Fatalf("node has %v, but reader has %v", node.Snapshot(), reader.Snapshot())
		}
	})
}

// TestOnlyTheNewestVersionIsDecoded guards against a node that lags and decodes each version of large routes, most of them
// several times.
func TestOnlyTheNewestVersionIsDecoded(t *testing.T) {
	is := is.New(t)
	ranked := map[string]int{}
	topic := Topic{
		RankFirst: true,
		Rank: func(record wire.FeedRecord) Rank {
			ranked[record.Value]++
			return Rank{Version: len(record.Value)}
		},
	}
	topic.Apply(wire.FeedUpdate{Whole: true, Next: 1, Records: []wire.FeedRecord{put("a", "1", 0)}})
	changed, _ := topic.Apply(wire.FeedUpdate{From: 1, Next: 6, Records: []wire.FeedRecord{
		put("a", "11", 1), put("b", "1", 2), put("a", "1111", 3), put("a", "111", 4), put("a", "", 5),
	}})
	is.Equal(changed, []wire.FeedRecord{put("b", "1", 2), put("a", "1111", 3)})
	for value, count := range ranked {
		is.True(count <= 2 || value == "") // when it comes, and when the next one does
	}
}

// TestTombstonesAreBounded replaces one upstream after the other: a topic kept a tombstone of each for ever. It checks as
// well that a late update doesn't bring back what was forgotten.
func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	topic := Topic{Rank: func(wire.FeedRecord) Rank { return Rank{} }}
	topic.Apply(wire.FeedUpdate{Whole: true})
	next := 0
	write := func(key, value string) wire.FeedUpdate {
		next++
		return wire.FeedUpdate{From: next - 1, Next: next, Records: []wire.FeedRecord{put(key, value, next-1)}}
	}
	topic.Apply(write("stays", "1"))
	var late wire.FeedUpdate
	for i := range 20_000 {
		update := write(fmt.Sprint(i), "1")
		if i == 100 {
			late = update
		}
		topic.Apply(update)
		topic.Apply(write(fmt.Sprint(i), ""))
		is.True(len(topic.records) <= 2*MaxTombstones+2)
	}
	is.True(!topic.Has("100"))
	_, gap := topic.Apply(late)
	is.True(!gap)
	is.Equal(len(topic.Records()), 1)
	_, _ = topic.Apply(write("100", "2")) // it registers again
	is.Equal(len(topic.Records()), 2)
}

// TestGapClosesWhilePushesGoOn guards against a node that fetched the whole topic again and again, since pushes came faster
// than a fetch lasted.
func TestGapClosesWhilePushesGoOn(t *testing.T) {
	is := is.New(t)
	push := func(topic *Topic, offset int) (gap bool) {
		_, gap = topic.Apply(wire.FeedUpdate{From: offset, Next: offset + 1, Records: []wire.FeedRecord{
			put(fmt.Sprint(offset), "1", offset),
		}})
		return gap
	}
	var reader, node Topic
	reader.Apply(wire.FeedUpdate{Whole: true})
	node.Apply(wire.FeedUpdate{Whole: true})
	var snapshot wire.FeedUpdate
	for offset := range 6 {
		push(&reader, offset)
		if offset > 0 { // the first is lost
			is.True(push(&node, offset))
		}
		if offset == 2 {
			snapshot = reader.Snapshot()
		}
	}
	_, gap := node.Apply(snapshot)
	is.True(!gap)
	is.True(!push(&node, 6))
	push(&reader, 6)
	is.Equal(node.Snapshot(), reader.Snapshot())

	is.True(push(&node, 9))
	is.True(push(&node, 11)) // 10 is lost too
	node.Apply(wire.FeedUpdate{From: 7, Next: 10})
	is.Equal(node.Next(), 10)
	is.True(push(&node, 12))
	node.Apply(wire.FeedUpdate{From: 10, Next: 11})
	is.Equal(node.Next(), 13)
}

// TestIgnoredUpdateIsToldApart guards against a copy that counted as current because of a late update that it ignored.
func TestIgnoredUpdateIsToldApart(t *testing.T) {
	is := is.New(t)
	var topic Topic
	topic.Apply(wire.FeedUpdate{Whole: true})
	late := wire.FeedUpdate{Next: 1, Records: []wire.FeedRecord{put("0", "1", 0)}}
	is.True(!topic.Ignores(late))
	var tombstones []wire.FeedRecord
	for i := range 2*MaxTombstones + 1 {
		tombstones = append(tombstones, put(fmt.Sprint(i), "", i))
	}
	topic.Apply(wire.FeedUpdate{Next: len(tombstones), Records: tombstones})
	is.True(topic.Ignores(late))
	changed, _ := topic.Apply(late)
	is.Equal(len(changed), 0)
	is.True(!topic.Ignores(wire.FeedUpdate{From: len(tombstones), Next: len(tombstones)}))
	is.True(!topic.Ignores(wire.FeedUpdate{Era: 1, Whole: true}))
}
