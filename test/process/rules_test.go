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

// Of several operators who publish at once, exactly one must win. During an outage of the log the rules must stay in
// force, and a publish must fail without effect.
func TestRacingOperatorsAndAnOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Settings{
		Nodes:    6,
		Engines:  1,
		Services: 1,
	})
	for round := range 3 {
		accepted := publishConcurrently(t, f, round)
		is.Equal(accepted, 1)
		status, err := f.Status(t.Context(), f.Nodes[0])
		is.NoErr(err)
		start := time.Now()
		is.NoErr(f.WaitRevision(t.Context(), status.Revision, f.Nodes...))
		t.Logf("accepted rule file in force at every node after %s", time.Since(start).Round(10*time.Millisecond))
	}
	before, err := f.Status(t.Context(), f.Nodes[0])
	is.NoErr(err)
	setFault(t, f, f.Platform, standin.FaultRefuse, -1)
	time.Sleep(faultInterval)
	_, err = f.Publish(t.Context(), f.Nodes[1], "during-outage", fleet.Rules()+"# more\n")
	is.True(err != nil)
	response, err := fleet.PostChat(t.Context(), f.Nodes[2], fleet.MillToken, "rules stay in force", 2, false)
	is.NoErr(err)
	is.Equal(response.Outcome, "completed")
	setFault(t, f, f.Platform, standin.FaultRefuse, 0)
	for _, node := range f.Nodes {
		status, err := f.Status(t.Context(), node)
		is.NoErr(err)
		is.Equal(status.Revision, before.Revision)
	}
}

// publishConcurrently publishes a different edit of the same revision through every node at once and returns the number
// of accepted ones; the others must fail with the error that another publish won.
func publishConcurrently(t *testing.T, f *fleet.Fleet, round int) int {
	t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	accepted := 0
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
				accepted++
			case err == nil || !strings.Contains(err.Error(), "another publish won"):
				t.Errorf("publish that did not win: verdict %v, unexpected error %v", verdict, err)
			}
		})
	}
	group.Wait()
	return accepted
}
