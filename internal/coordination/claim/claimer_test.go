package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// TestClaimsThatWaitAreBounded guards against holding any number of requests whose claims wait for a slow log.
func TestClaimsThatWaitAreBounded(t *testing.T) {
	is := is.New(t)
	c := newSimulation(1).nodes[0].claimer
	now := time.Unix(1000, 0)
	submit := func(id int) Actions {
		return c.Submit(fmt.Sprint(id), fmt.Sprint("key-", id), "digest", now.Add(time.Second))
	}
	for id := range MaxWaiting {
		is.Equal(len(submit(id).Decisions), 0)
	}
	refused := submit(MaxWaiting).Decisions
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Verdict, NotRun)
	is.Equal(c.Unwritten(), MaxWaiting) // nothing was queued for the refused one
	c.Tick(now.Add(time.Second))
	is.Equal(c.Waiting(), 0)
	is.Equal(len(submit(MaxWaiting+1).Decisions), 0)
}

// TestOutcomesOfAnOutageAreBounded guards against keeping the answers of all requests that end while the log takes no
// appends, those of other nodes included.
func TestOutcomesOfAnOutageAreBounded(t *testing.T) {
	is := is.New(t)
	c := newSimulation(1).nodes[0].claimer
	const outcomes = 2 * maxUnwrittenWithBody
	for id := range outcomes {
		c.AppendForPeer(wire.ClaimRecord{
			Type:     wire.ClaimRecordTypeOutcome,
			Attempt:  fmt.Sprint(id),
			Outcome:  "completed",
			Body:     "an answer",
			BodyKept: true,
		})
	}
	withBody := 0
	for _, r := range append(c.inFlight, c.queue...) {
		is.Equal(r.Outcome, "completed")
		is.Equal(r.BodyKept, r.Body != "")
		if r.BodyKept {
			withBody++
		}
	}
	is.Equal(c.Unwritten(), outcomes) // no outcome is lost
	is.Equal(withBody, maxUnwrittenWithBody)
}
