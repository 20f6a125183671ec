package entryvm

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/quarantine"
	"lagoongw/internal/protocol/wire"
)

// TestSuspectsSurviveTheWire guards against evidence that other nodes can't read, such as IDs that a JSON number rounds.
func TestSuspectsSurviveTheWire(t *testing.T) {
	is := is.New(t)
	sent := []quarantine.Row{{
		Cause: quarantine.Cause{
			Pool: "p",
			Kind: quarantine.Repeat,
			ID:   1<<64 - 3,
		},
		Passed: true,
		Crashes: []quarantine.Crash{
			{
				Upstream: "i-1",
				Age:      1500 * time.Millisecond,
				Cleared:  true,
			},
			{Upstream: "i-2"},
		},
		Probe: &quarantine.Probe{
			Age:   2500 * time.Millisecond,
			Ended: true,
		},
	}}
	data, err := json.Marshal(encodeLoads("a", dispatch.Digest{Suspects: sent}))
	is.NoErr(err)
	var message wire.LoadDigest
	is.NoErr(json.Unmarshal(data, &message))
	is.Equal(decodeLoads(message).Suspects, sent)
	message.Suspects[0].Part = "no number"
	is.Equal(len(decodeLoads(message).Suspects), 0)
}
