package process

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/test/fleet"
	"lagoongw/test/standin"
)

func TestRacingOperatorsAndAnOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Settings{
		Nodes:    6,
		Engines:  1,
		Services: 1,
	})
	for round := range 3 {
		winners := race(t, f, round)
		is.Equal(winners, 1)
		status, err := f.Status(t.Context(), f.Nodes[0])
		is.NoErr(err)
		begin := time.Now()
		is.NoErr(f.WaitRevision(t.Context(), status.Revision, f.Nodes...))
		t.Logf("in force at every node %s after the race", time.Since(begin).Round(10*time.Millisecond))
	}
	before, err := f.Status(t.Context(), f.Nodes[0])
	is.NoErr(err)
	setFault(t, f, f.Platform, standin.FaultRefuse, -1)
	time.Sleep(stepPause)
	_, err = f.Publish(t.Context(), f.Nodes[1], "during-outage", fleet.Rules()+"# more\n")
	is.True(err != nil)
	answer, err := fleet.PostChat(t.Context(), f.Nodes[2], fleet.MillToken, "rules stay in force", 2, false)
	is.NoErr(err)
	is.Equal(answer.Outcome, "completed")
	setFault(t, f, f.Platform, standin.FaultRefuse, 0)
	for _, node := range f.Nodes {
		status, err := f.Status(t.Context(), node)
		is.NoErr(err)
		is.Equal(status.Revision, before.Revision)
	}
}

// race lets every node's operator publish another edit of the same file at once, and counts who won.
func race(t *testing.T, f *fleet.Fleet, round int) int {
	t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	winners := 0
	base, err := f.Status(t.Context(), f.Nodes[0])
	if err != nil {
		t.Fatal(err)
	}
	for i, node := range f.Nodes {
		group.Go(func() {
			id := fmt.Sprintf("round-%d-operator-%d", round, i)
			text := fleet.Rules() + "# " + id + "\n"
			verdict, err := f.PublishWithBase(t.Context(), node, id, base.Revision, text)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && verdict.Accepted:
				winners++
			case err == nil || !strings.Contains(err.Error(), "another publish won"):
				t.Errorf("loser was told: %v %v", verdict, err)
			}
		})
	}
	group.Wait()
	return winners
}
