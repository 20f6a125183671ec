package entryvm

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/calibration"
	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/protocol/wire"
)

func TestLoadsSurviveTheWire(t *testing.T) {
	is := is.New(t)
	sent := dispatch.Digest{
		Nodes: 3,
		Loads: map[string]dispatch.Load{
			"i-1": {
				Waiting: 5000,
				Running: 7,
				Down:    2,
			},
			"i-2": {Running: 1},
		},
		EngineDemands: map[string]dispatch.EngineDemand{
			"p": {
				Interactive: 1.5,
				Bulk:        9,
			},
		},
		PoolRequests: map[string]dispatch.PoolRequests{
			"p": {
				Requests: 41,
				Tokens:   9000,
				Sent:     12.5,
				Refused:  0.25,
			},
		},
		Evidence: map[string]calibration.Evidence{
			"p": {
				Steps: [calibration.GroupCount]calibration.Group{
					{
						Weight:  12,
						SizeSum: 40,
						LogSum:  201.25,
					},
				},
				Firsts: [calibration.GroupCount]calibration.Group{
					{},
					{
						Weight:  3,
						SizeSum: 1200,
						LogSum:  53.5,
					},
				},
				Pauses: [calibration.PauseBuckets]float64{3.5, 0, 1},
			},
		},
		Leaving: map[string]int{"i-2": 17},
		Limits: []ratelimit.Report{
			{
				Upstream: ratelimit.Upstream{
					Name: "i-1",
					Boot: 5,
				},
				Limit: 0.25,
				Age:   1500 * time.Millisecond,
			},
		},
		Brittle: []ratelimit.Report{
			{
				Upstream: ratelimit.Upstream{Name: "i-2"},
				Limit:    3,
				Age:      time.Second,
			},
		},
	}
	data, err := json.Marshal(encodeLoads("a", sent))
	is.NoErr(err)
	var message wire.LoadDigest
	is.NoErr(json.Unmarshal(data, &message))
	is.Equal(message.From, "a")
	is.Equal(decodeLoads(message), sent)
}

// TestARelayThatDoesNotAnswerIsPassedOver checks that all nodes of a zone choose the same relay, and that a node
// to which it did not answer uses the next one until relayRetryDelay has passed.
func TestARelayThatDoesNotAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	var live []wire.Member
	for i := range 20 {
		live = append(live, wire.Member{
			Name:             fmt.Sprintf("node-%d", i),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%2),
		})
	}
	now := time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)
	var reporter, other loadReporter
	relay := reporter.relayOf(live, "zone-0", now)
	is.Equal(relay.AvailabilityZone, "zone-0")
	is.Equal(other.relayOf(live, "zone-0", now), relay)
	reporter.lastFailure = map[string]time.Time{relay.Name: now}
	next := reporter.relayOf(live, "zone-0", now)
	is.True(next.Name != relay.Name)
	is.Equal(next.AvailabilityZone, "zone-0")
	is.Equal(reporter.relayOf(live, "zone-0", now.Add(relayRetryDelay)), relay)
}

// TestFailuresOfRelaysAreForgotten guards against a time kept for each relay that ever failed to answer.
func TestFailuresOfRelaysAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)
	var reporter loadReporter
	for i := range 10 {
		reporter.recordFailure(fmt.Sprintf("node-%d", i), now.Add(time.Duration(i)*relayRetryDelay))
	}
	is.Equal(len(reporter.lastFailure), 1)
}
