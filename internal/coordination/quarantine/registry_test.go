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

func newPrompt(ids ...uint64) Request {
	q := Request{Pool: modelPool}
	for _, id := range ids {
		q.Prompt = append(q.Prompt, prompt.Part{ID: id})
	}
	return q
}

// newCondemned returns a registry in which part 7 is quarantined for baseLength from start on.
func newCondemned() *Registry {
	r := &Registry{}
	r.Crashed("e1", start.Add(-time.Second), newPrompt(7, 100))
	r.Crashed("e2", start, newPrompt(7, 101))
	return r
}

// TestQuarantineEndsWithAProbe guards against a part staying quarantined for good, and against each node trying it anew.
func TestQuarantineEndsWithAProbe(t *testing.T) {
	is := is.New(t)
	r, p, end := newCondemned(), newPrompt(7, 102), start.Add(baseLength)
	is.Equal(r.Check(p, firstRank, start).Until, end)
	is.Equal(r.Check(Request{Pool: "other", Prompt: p.Prompt}, firstRank, start), nil)
	is.Equal(r.Check(newPrompt(8, 7), firstRank, start), nil) // the last part is one of the request's own
	second := func(string) int { return 1 }
	is.Equal(r.Check(p, second, end).Until, end.Add(probeWindow))
	is.Equal(r.Check(p, firstRank, end), nil)
	is.True(r.Sent(p, end))
	is.Equal(r.Check(p, firstRank, end.Add(time.Second)).Until, end.Add(probeWindow))
	failed := end.Add(2 * time.Second)
	r.Crashed("e3", failed, p)
	is.Equal(r.Check(p, firstRank, failed).Until, failed.Add(2*baseLength))
	r.Passed(p, failed.Add(2*baseLength))
	is.Equal(r.Check(p, firstRank, failed.Add(time.Second)), nil)
	other := newCondemned()
	other.Merge(r.Rows(failed), failed)
	is.Equal(other.Check(p, firstRank, failed), nil)
}

// TestMergingIsCommutativeAndIdempotent guards against nodes that disagree for good, whatever the order of digests.
func TestMergingIsCommutativeAndIdempotent(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(26, 1))
	for range 200 {
		var rows []Row
		for range 5 {
			row := Row{
				Cause:  Cause{ID: 7},
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
		r.Crashed(fmt.Sprint("e", i), at, newPrompt(1000+i, 1))
		r.Passed(newPrompt(1000+i, 1), at)
	}
	is.True(len(r.causes) <= maxCauses)
	is.True(len(r.passed)+len(r.passedBefore) <= 2*maxPassed)
	is.Equal(len(r.Rows(start)), maxRows)
	is.True(r.Check(newPrompt(7, 1), firstRank, start) != nil) // what is quarantined is kept
	r.Rows(start.Add(time.Hour))
	is.Equal(len(r.causes), 0)
}

// TestOneCrashIsCountedOnceHoweverLateItIsTold guards against a quarantine after one crash, because evidence that was
// under way for a while makes it look like two.
func TestOneCrashIsCountedOnceHoweverLateItIsTold(t *testing.T) {
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 1150 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			teller, r, p := &Registry{}, &Registry{}, newPrompt(7, 100)
			teller.Crashed("e1", start, p)
			late, now := teller.Rows(start), start.Add(delay)
			r.Merge(late, now)
			r.Merge(teller.Rows(now), now)
			is.Equal(r.Check(p, firstRank, now), nil)
			is.Equal(len(r.Rows(now)[0].Crashes), 1)
		})
	}
}

// TestNodesWaitForAProbeUntilItEnds guards against probes beside one that is open, and against a part that can't be tried
// again after a probe that ended without a result.
func TestNodesWaitForAProbeUntilItEnds(t *testing.T) {
	is := is.New(t)
	prober, other, p, end := newCondemned(), newCondemned(), newPrompt(7, 102), start.Add(baseLength)
	is.True(prober.Sent(p, end))
	tell := func(at time.Time) { other.Merge(prober.Rows(at), at) }
	later := end.Add(5 * probeWindow)
	tell(end)
	for _, r := range []*Registry{prober, other} {
		is.Equal(r.Check(p, firstRank, later).Until, later.Add(probeWindow))
	}
	prober.ProbeEnded(p)
	tell(later)
	for _, r := range []*Registry{prober, other} {
		is.Equal(r.Check(p, firstRank, later), nil)
	}
	prober.Sent(p, later)
	tell(later)
	is.True(other.Check(p, firstRank, later.Add(maxProbeTime-1)) != nil)
	is.Equal(other.Check(p, firstRank, later.Add(maxProbeTime)), nil)
}

// TestCrashOfManyNewPartsSortsNothing guards against a node whose choices all wait while the evidence is put in order for
// each new part of a crash.
func TestCrashOfManyNewPartsSortsNothing(t *testing.T) {
	is := is.New(t)
	r := newCondemned()
	newParts := func(from uint64) Request {
		ids := make([]uint64, 1000)
		for i := range ids {
			ids[i] = from + uint64(i)
		}
		return newPrompt(ids...)
	}
	r.Crashed("e3", start.Add(time.Second), newParts(1000))
	var before, after runtime.MemStats
	p := newParts(5000)
	runtime.ReadMemStats(&before)
	r.Crashed("e4", start.Add(2*time.Second), p)
	runtime.ReadMemStats(&after)
	t.Logf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
	is.True(r.Check(newPrompt(7, 1), firstRank, start.Add(2*time.Second)) != nil)
}

// TestRequestsThatCrashedTogetherAreTriedSoon guards against a sound request being refused for long because it ran beside the
// bad one at each crash.
func TestRequestsThatCrashedTogetherAreTriedSoon(t *testing.T) {
	is := is.New(t)
	bad := Request{
		Pool:   modelPool,
		Digest: 7,
	}
	sound := Request{
		Pool:   modelPool,
		Digest: 8,
	}
	var r Registry
	last := start
	for i := range 3 {
		last = start.Add(time.Duration(i) * time.Second)
		r.Crashed(fmt.Sprint("e", i), last, bad, sound)
	}
	soon := last.Add(twinLength)
	is.Equal(r.Check(bad, firstRank, last).Until, soon)
	is.Equal(r.Check(sound, firstRank, last).Until, soon)
	is.Equal(r.Check(sound, firstRank, soon), nil)
	is.True(r.Sent(sound, soon))
	r.Passed(sound, soon.Add(time.Second))
	is.Equal(r.Check(sound, firstRank, soon.Add(time.Second)), nil)
	is.Equal(r.Check(bad, firstRank, soon.Add(time.Second)).Until, last.Add(baseLength)) // no other may be the cause now
}
