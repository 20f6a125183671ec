package catalog

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// oddValues are values that another writer may put among the entries of upstreams, by name.
var oddValues = map[string]string{
	"binary":        strings.Repeat("\x00\xff", 100_000),
	"long":          strings.Repeat("x", 250_000),
	"nested deeply": strings.Repeat("[", 100_000),
	"short":         "?",
}

// TestOddEntriesReachNoPeerAtLength guards against an entry of another writer that stops nodes from following the list: it grows
// sixfold in the messages to peers, which then exceed what these read.
func TestOddEntriesReachNoPeerAtLength(t *testing.T) {
	runSite(t, func(s *site, _, upstreams *fakeTopic) {
		is := is.New(t)
		for name, value := range oddValues {
			upstreams.put(name, value)
		}
		upstreams.put("key \xff\xfe", "ready")
		time.Sleep(bound)
		upstreams.put("u2", "ready")
		time.Sleep(bound)
		for _, node := range s.services {
			is.Equal(node.Table.Load().Len(), 2) // u1 and u2
			snapshot, known := node.Snapshot(TopicUpstreams)
			is.True(known)
			message, err := json.Marshal(snapshot)
			is.NoErr(err)
			is.True(len(message) < 10_000)
			is.True(len(snapshot.Records) <= 2+len(oddValues)) // the peers are told of no entry that names no upstream
		}
		for name := range oddValues {
			upstreams.put(name, "")
		}
		upstreams.put("u1", "draining")
		time.Sleep(bound)
		is.Equal(s.leaving(), []bool{true, true, true})
		snapshot, _ := s.services[0].Snapshot(TopicUpstreams)
		is.Equal(len(snapshot.Records), 2)
	})
}

// TestOddEntriesOfPeersAndCopies guards against odd entries on the ways that don't come from the store: from peers of an older
// build, which pass them on as they are, and from the copy of the list.
func TestOddEntriesOfPeersAndCopies(t *testing.T) {
	is := is.New(t)
	node := newNode(sitePeers{site: newSite()}, newTopic(), newTopic())
	node.Prepare()
	update := wire.FeedUpdate{
		Topic:   TopicUpstreams,
		Whole:   true,
		Next:    10,
		Records: []wire.FeedRecord{{Key: "u1", Value: "ready", Offset: 9}},
	}
	saved := newTopic()
	for name, value := range oddValues {
		update.Records = append(update.Records, wire.FeedRecord{
			Key:    name,
			Value:  value,
			Offset: 1,
		})
		saved.put(name, value)
	}
	saved.put("u3", "ready")
	is.True(!node.HandleUpdate(update))
	is.Equal(node.Table.Load().Len(), 1)
	snapshot, _ := node.Snapshot(TopicUpstreams)
	for _, record := range snapshot.Records {
		is.True(len(record.Value) <= maxUnreadableBytes)
	}
	restarted := newNode(sitePeers{site: newSite()}, newTopic(), newTopic())
	restarted.UpstreamsCopy = saved
	restarted.Prepare()
	restarted.upstreams.loadCopy(t.Context())
	is.Equal(restarted.Table.Load().Len(), 1) // u3
}
