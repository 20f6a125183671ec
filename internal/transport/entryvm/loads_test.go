package entryvm

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/protocol/wire"
)

func TestLoadsSurviveTheWire(t *testing.T) {
	is := is.New(t)
	told := dispatch.Digest{
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
	}
	data, err := json.Marshal(encodeLoads("a", told))
	is.NoErr(err)
	var digest wire.LoadDigest
	is.NoErr(json.Unmarshal(data, &digest))
	is.Equal(digest.From, "a")
	is.Equal(decodeLoads(digest), told)
}

// TestARelayThatDoesNotAnswerIsPassedOver has all nodes of a zone agree on one relay, and one that lost it take the next.
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
	var one, other loads
	relay := one.relayOf(live, "zone-0", now)
	is.Equal(relay.AvailabilityZone, "zone-0")
	is.Equal(other.relayOf(live, "zone-0", now), relay)
	one.failed = map[string]time.Time{relay.Name: now}
	next := one.relayOf(live, "zone-0", now)
	is.True(next.Name != relay.Name)
	is.Equal(next.AvailabilityZone, "zone-0")
	is.Equal(one.relayOf(live, "zone-0", now.Add(relayAfterFailure)), relay)
}
