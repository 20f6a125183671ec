package quarantine

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/prompt"
)

var start = time.Unix(1_700_000_000, 0)

func firstRank(string) int { return 0 }

func newPrompt(ids ...uint64) (p prompt.Prompt) {
	for _, id := range ids {
		p = append(p, prompt.Part{ID: id})
	}
	return p
}

// newCondemned returns a registry in which part 7 is quarantined for baseLength from start on.
func newCondemned() *Registry {
	r := &Registry{}
	r.Crashed(modelPool, "e1", start.Add(-time.Second), newPrompt(7, 100))
	r.Crashed(modelPool, "e2", start, newPrompt(7, 101))
	return r
}

// TestQuarantineEndsWithAProbe guards against a part staying quarantined for good, and against each node trying it anew.
func TestQuarantineEndsWithAProbe(t *testing.T) {
	is := is.New(t)
	r, p, end := newCondemned(), newPrompt(7, 102), start.Add(baseLength)
	is.Equal(r.Check(modelPool, p, firstRank, start).Until, end)
	is.Equal(r.Check("other", p, firstRank, start), nil)
	is.Equal(r.Check(modelPool, newPrompt(8, 7), firstRank, start), nil) // the last part is one of the request's own
	second := func(string) int { return 1 }
	is.Equal(r.Check(modelPool, p, second, end).Until, end.Add(probeWindow))
	is.Equal(r.Check(modelPool, p, firstRank, end), nil)
	is.True(r.Sent(modelPool, p, end))
	is.Equal(r.Check(modelPool, p, firstRank, end.Add(time.Second)).Until, end.Add(probeWindow))
	failed := end.Add(2 * time.Second)
	r.Crashed(modelPool, "e3", failed, p)
	is.Equal(r.Check(modelPool, p, firstRank, failed).Until, failed.Add(2*baseLength))
	r.Passed(modelPool, p, failed.Add(2*baseLength))
	is.Equal(r.Check(modelPool, p, firstRank, failed.Add(time.Second)), nil)
	other := newCondemned()
	other.Merge(r.Rows(failed), failed)
	is.Equal(other.Check(modelPool, p, firstRank, failed), nil)
}

// TestMergingIsCommutativeAndIdempotent guards against nodes that disagree for good, whatever the order of digests.
func TestMergingIsCommutativeAndIdempotent(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(26, 1))
	for range 200 {
		var rows []Row
		for range 5 {
			row := Row{
				Part:   Part{ID: 7},
				Passed: random.IntN(4) == 0,
			}
			for range 1 + random.IntN(2) {
				row.Crashes = append(row.Crashes, Crash{
					Upstream: fmt.Sprint("e", random.IntN(4)),
					Age:      time.Duration(random.IntN(3)) * 10 * time.Second,
					Cleared:  random.IntN(3) == 0,
				})
			}
			rows = append(rows, row)
		}
		merged := func(order []int) string {
			r := &Registry{}
			for _, i := range order {
				r.Merge(rows[i:i+1], start)
			}
			return fmt.Sprint(r.Rows(start))
		}
		order := random.Perm(len(rows))
		is.Equal(merged(order), merged(append(random.Perm(len(rows)), order...)))
	}
}

// TestEvidenceIsBounded guards against a node's memory growing with the number of parts that it has seen.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	r := newCondemned()
	for i := range uint64(5_000) {
		at := start.Add(time.Duration(i) * time.Millisecond)
		r.Crashed(modelPool, fmt.Sprint("e", i), at, newPrompt(1000+i, 1))
		r.Passed(modelPool, newPrompt(1000+i, 1), at)
	}
	is.True(len(r.parts) <= maxParts)
	is.True(len(r.passed)+len(r.passedBefore) <= 2*maxPassed)
	is.Equal(len(r.Rows(start)), maxRows)
	is.True(r.Check(modelPool, newPrompt(7, 1), firstRank, start) != nil) // what is quarantined is kept
	r.Rows(start.Add(time.Hour))
	is.Equal(len(r.parts), 0)
}

// TestOneCrashIsCountedOnceHoweverLateItIsTold guards against a quarantine after one crash, because evidence that was
// under way for a while makes it look like two.
func TestOneCrashIsCountedOnceHoweverLateItIsTold(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 1150 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			teller, r, p := &Registry{}, &Registry{}, newPrompt(7, 100)
			teller.Crashed(modelPool, "e1", start, p)
			late, now := teller.Rows(start), start.Add(delay)
			r.Merge(late, now)
			r.Merge(teller.Rows(now), now)
			is.Equal(r.Check(modelPool, p, firstRank, now), nil)
			is.Equal(len(r.Rows(now)[0].Crashes), 1)
		})
	}
}

// TestNodesWaitForAProbeUntilItEnds guards against probes beside one that is open, and against a part that can't be tried
// again after a probe that ended without a result.
func TestNodesWaitForAProbeUntilItEnds(t *testing.T) {
	is := is.New(t)
	prober, other, p, end := newCondemned(), newCondemned(), newPrompt(7, 102), start.Add(baseLength)
	is.True(prober.Sent(modelPool, p, end))
	tell := func(at time.Time) { other.Merge(prober.Rows(at), at) }
	later := end.Add(5 * probeWindow)
	tell(end)
	for _, r := range []*Registry{prober, other} {
		is.Equal(r.Check(modelPool, p, firstRank, later).Until, later.Add(probeWindow))
	}
	prober.ProbeEnded(modelPool, p)
	tell(later)
	for _, r := range []*Registry{prober, other} {
		is.Equal(r.Check(modelPool, p, firstRank, later), nil)
	}
	prober.Sent(modelPool, p, later)
	tell(later)
	is.True(other.Check(modelPool, p, firstRank, later.Add(maxProbeTime-1)) != nil)
	is.Equal(other.Check(modelPool, p, firstRank, later.Add(maxProbeTime)), nil)
}

// TestCrashOfManyNewPartsSortsNothing guards against a node whose choices all wait while the evidence is put in order for
// each new part of a crash.
func TestCrashOfManyNewPartsSortsNothing(t *testing.T) {
	is := is.New(t)
	r := newCondemned()
	newParts := func(from uint64) (p prompt.Prompt) {
		for i := range uint64(1000) {
			p = append(p, prompt.Part{ID: from + i})
		}
		return p
	}
	r.Crashed(modelPool, "e3", start.Add(time.Second), newParts(1000))
	var before, after runtime.MemStats
	p := newParts(5000)
	runtime.ReadMemStats(&before)
	r.Crashed(modelPool, "e4", start.Add(2*time.Second), p)
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
	is.True(r.Check(modelPool, newPrompt(7, 1), firstRank, start.Add(2*time.Second)) != nil)
}
