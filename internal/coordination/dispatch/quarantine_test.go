package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/prompt"
)

// badRequest has the shared part 666, which crashes upstreams.
func badRequest(own uint64) Request {
	return Request{
		Pool:   "p",
		Prompt: prompt.Prompt{{ID: 1}, {ID: 666}, {ID: own}},
	}
}

// TestQuarantinePassesThroughRelays guards against nodes of other zones learning nothing of a part that crashes upstreams.
func TestQuarantinePassesThroughRelays(t *testing.T) {
	is := is.New(t)
	node, relay, otherRelay, otherNode := newDispatcher(3), newDispatcher(3), newDispatcher(3), newDispatcher(3)
	upstreams := node.Table.Load().PoolReplicas("p")
	for i, at := range []time.Time{start, start.Add(time.Second)} {
		node.Crashed(upstreams[i], []Request{badRequest(uint64(100 + i))}, at, at)
	}
	now := start.Add(2 * time.Second)
	is.True(node.Quarantined(badRequest(7), now) != nil)
	is.True(otherNode.Quarantined(badRequest(7), now) == nil)
	relay.ReceiveDigest("node", node.Advertise(now), now)
	otherRelay.ReceiveZoneDigest("zone", relay.ZoneSum(now), now)
	otherNode.ReceiveSiteDigest(otherRelay.SiteSum(now), otherNode.Advertise(now), now)
	refused := otherNode.Quarantined(badRequest(7), now)
	is.True(refused != nil)
	is.Equal(refused.Crashes, 2)
	is.Equal(refused.Until, start.Add(31*time.Second))
}

// TestOnlyAnswersThatBeganAndBrokeOffAtOnceAreSuspected guards against parts of prompts being suspected that merely waited
// or ran at an upstream when it crashed.
func TestOnlyAnswersThatBeganAndBrokeOffAtOnceAreSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		answering bool
		events    int
		after     time.Duration
		completed bool
		suspected bool
	}{
		"waits for its turn":     {after: 50 * time.Millisecond},
		"has just begun":         {answering: true, after: 50 * time.Millisecond, suspected: true},
		"few events":             {answering: true, events: 3, after: 100 * time.Millisecond, suspected: true},
		"many events":            {answering: true, events: 20, after: 100 * time.Millisecond},
		"long after its begin":   {answering: true, after: time.Second},
		"came whole before that": {answering: true, events: 1, after: 50 * time.Millisecond, completed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			node := newDispatcher(3)
			upstream := node.Table.Load().PoolReplicas("p")[0]
			assignment := node.Begin(upstream, badRequest(7), Choice{}, start)
			if c.answering {
				assignment.Answering(start)
			}
			end := start.Add(c.after)
			assignment.Events(c.events, end)
			if c.completed {
				assignment.Completed(badRequest(7), end)
			}
			suspect := assignment.Suspect(badRequest(7))
			is.Equal(assignment.MayHaveCrashed(end) && len(suspect.Prompt) > 0, c.suspected)
		})
	}
}

// TestManySuspectsOfACrashAreJudgedOnce guards against a node whose choices all wait while the evidence about all parts is
// gone through for each request that may have crashed an upstream.
func TestManySuspectsOfACrashAreJudgedOnce(t *testing.T) {
	is := is.New(t)
	node := newDispatcher(3)
	upstreams, now := node.Table.Load().PoolReplicas("p"), start
	crash := func(suspects int) float64 {
		var requests []Request
		for i := range suspects {
			requests = append(requests, badRequest(uint64(i)))
		}
		return testing.AllocsPerRun(10, func() { node.Crashed(upstreams[0], requests, now, now) })
	}
	var known []Request
	for id := range uint64(200) {
		known = append(known, Request{
			Pool:   "p",
			Prompt: prompt.Prompt{{ID: 1000 + id}, {ID: 7}},
		})
	}
	for i := range 12 {
		at := now.Add(time.Duration(i/3)*4*time.Second + time.Duration(i)*time.Second)
		node.Crashed(upstreams[i%3], known, at, at)
	}
	one, many := crash(1), crash(16)
	t.Logf("%.0f allocations for one suspect, %.0f for many", one, many)
	is.True(one > 0)
	is.True(many < 2*one)
}
