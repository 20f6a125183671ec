package entryvm

import (
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/peer"
)

// TestLargeUpdatesArePushedWithoutTheirRecords checks that routes that have grown by a thousand are not sent to 60 nodes
// over a slow link: the last ones got them after 8 s. What counts is what a push may take.
func TestLargeUpdatesArePushedWithoutTheirRecords(t *testing.T) {
	for name, c := range map[string]struct {
		bytes   int
		nodes   int
		noise   bool
		omitted bool
	}{
		"routes that compress, 100 nodes":       {bytes: 40_000, nodes: 100},
		"routes that don't compress, 100 nodes": {bytes: 40_000, nodes: 100, noise: true, omitted: true},
		"usual routes, 8 nodes":                 {bytes: 18_000, nodes: 8},
		"usual routes, 195 nodes":               {bytes: 18_000, nodes: 195},
		"many routes, 8 nodes":                  {bytes: 250_000, nodes: 8},
		"many routes, 60 nodes":                 {bytes: 250_000, nodes: 60, omitted: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			value := strings.Repeat("r", c.bytes)
			if c.noise {
				noise := make([]byte, c.bytes/2)
				_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
				value = hex.EncodeToString(noise)
			}
			update := wire.FeedUpdate{
				Topic:     "routes",
				Era:       2,
				FreshFrom: 1,
				From:      7,
				Next:      9,
				Whole:     true,
				Records: []wire.FeedRecord{
					{
						Key:    "config",
						Value:  value,
						Offset: 8,
					},
				},
			}
			pushed := omitLargeRecords(update, c.nodes)
			is.Equal(pushed.Omitted, c.omitted)
			is.Equal(pushed.Next, 9)
			is.Equal(pushed.Era, 2)
			is.Equal(pushed.FreshFrom, 1)
			is.Equal(len(pushed.Records) == 0, c.omitted)
			is.Equal(pushed.From == pushed.Next, c.omitted) // a node that is not there yet sees that records are missing
			is.True(!c.omitted || !pushed.Whole)
		})
	}
}

// TestTopicsAreSentIndependently guards against a small snapshot of the upstreams that waited behind routes which were being
// written to a slow peer.
func TestTopicsAreSentIndependently(t *testing.T) {
	is := is.New(t)
	kind := func(method, topic string) string {
		return topicLane(method, json.RawMessage(`{"topic":"`+topic+`"}`)).Kind
	}
	is.True(kind(peer.MethodFeedFetch, "routes") != kind(peer.MethodFeedFetch, "upstreams"))
	is.True(kind(peer.MethodFeedFetch, "routes") != "")
	is.Equal(kind(peer.MethodFeedFetch, "x"), kind(peer.MethodFeedFetch, "y")) // no lane for each name that a peer makes up
	is.Equal(kind(peer.MethodDigest, "routes"), "")
}

// TestFetchLeavesTimeToReadTheStore guards against routes that came later than 3 s: a peer that sent a whole topic slowly held
// the only fetch for 4 s before the store was read.
func TestFetchLeavesTimeToReadTheStore(t *testing.T) {
	const routesBound = 3 * time.Second
	is.New(t).True(maxFetchTime <= routesBound/2)
}

// TestUpdateIsMarshalledOnce guards against an update that was marshalled for each of the nodes that it is sent to, two at a
// time, while their calls timed out.
func TestUpdateIsMarshalledOnce(t *testing.T) {
	is := is.New(t)
	m := updateMessage(wire.FeedUpdate{
		Topic: "routes",
		Next:  9,
	})
	first, err := m.params(m.madeAt)
	is.NoErr(err)
	second, err := m.params(m.madeAt)
	is.NoErr(err)
	is.True(&first[0] == &second[0])
	var got wire.FeedUpdate
	is.NoErr(json.Unmarshal(first, &got))
	is.Equal(got.Next, 9)
}

// TestUpdateTellsHowLongItHasWaited guards against upstreams that got requests after they had left: an update that had waited
// behind another one counted as current when it arrived, and put off the next read by as long.
func TestUpdateTellsHowLongItHasWaited(t *testing.T) {
	is := is.New(t)
	told := func(m message, waited time.Duration) *int {
		params, err := m.params(m.madeAt.Add(waited))
		is.NoErr(err)
		var got wire.FeedUpdate
		is.NoErr(json.Unmarshal(params, &got))
		return got.AgeMs
	}
	m := updateMessage(wire.FeedUpdate{Topic: "upstreams", From: 3, Next: 5})
	is.True(told(m, 0) == nil)
	is.Equal(*told(m, 1400*time.Millisecond), 1400)
	newer := updateMessage(wire.FeedUpdate{Topic: "upstreams", From: 5, Next: 6})
	newer.madeAt = m.madeAt.Add(time.Second)
	is.Equal(m.Merge(newer).madeAt, newer.madeAt) // both were current then
	reduced, ok := m.Reduce()
	is.True(ok)
	is.Equal(reduced.madeAt, m.madeAt)
	age := 300 // it was passed on
	passedOn := updateMessage(wire.FeedUpdate{Topic: "routes", AgeMs: &age})
	is.Equal(*told(passedOn, time.Second), 1300)
}
