package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/prompt"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// newPrompt returns a prompt of a shared part with the given number of tokens and an own part of 100 tokens.
func newPrompt(shared, own uint64, tokens int) prompt.Prompt {
	return prompt.Prompt{
		{
			ID:     shared,
			Tokens: tokens,
		},
		{
			ID:     own,
			Tokens: 100,
		},
	}
}

// runToIdle advances an engine until it has no jobs and returns the times at which each job's tokens were generated.
func runToIdle(e *Engine) map[*Job][]time.Time {
	tokens := map[*Job][]time.Time{}
	for {
		next, working := e.NextEvent()
		if !working {
			return tokens
		}
		for _, p := range e.Advance(next) {
			tokens[p.Job] = append(tokens[p.Job], p.At)
		}
	}
}

// newEngine returns an engine and a count of the tokens that it prefilled.
func newEngine(slots, memory int) (e *Engine, prefilled *int) {
	prefilled = new(int)
	return New(PublishedSpec(slots, memory), func(part prompt.Part, _ bool) { *prefilled += part.Tokens }), prefilled
}

func TestFirstTokenFollowsPrefill(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 100_000)
	job := &Job{
		Prompt:       newPrompt(1, 2, 6140),
		OutputTokens: 3,
	}
	is.True(e.Submit(job, start))
	tokens := runToIdle(e)[job]
	is.Equal(len(tokens), 3)
	// 120 ms of delay and 6,240 tokens at 62.4 tokens per millisecond.
	is.Equal(tokens[0].Sub(start).Round(time.Millisecond), 220*time.Millisecond)
	is.True(tokens[1].Sub(tokens[0]) >= e.Spec.StepBaseTime)
}

func TestCachedPartsAreNotPrefilledAgain(t *testing.T) {
	is := is.New(t)
	e, prefilled := newEngine(64, 100_000)
	for own := range uint64(3) {
		e.Submit(&Job{
			Prompt:       newPrompt(1, 10+own, 5000),
			OutputTokens: 1,
		}, start.Add(time.Duration(own)*time.Second))
		runToIdle(e)
	}
	is.Equal(*prefilled, 5000+3*100)
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 12_000)
	for shared := range uint64(3) {
		e.Submit(&Job{
			Prompt:       newPrompt(shared, 10+shared, 5000),
			OutputTokens: 1,
		}, start.Add(time.Duration(shared)*time.Second))
		runToIdle(e)
	}
	is.Equal(e.Uncached(newPrompt(0, 99, 5000)), 5100) // the least recently used shared part was evicted
	is.Equal(e.Uncached(newPrompt(2, 99, 5000)), 100)
}

func TestPrefillDelaysOthersByAtMostOneChunk(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 400_000)
	running := &Job{
		Prompt:       newPrompt(1, 2, 100),
		OutputTokens: 100,
	}
	e.Submit(running, start)
	e.Submit(&Job{
		Prompt:       newPrompt(3, 4, 100_000),
		OutputTokens: 1,
	}, start)
	tokens := runToIdle(e)[running]
	longest := time.Duration(0)
	for i := 1; i < len(tokens); i++ {
		longest = max(longest, tokens[i].Sub(tokens[i-1]))
	}
	is.True(longest <= e.Spec.PrefillSetupTime+e.Spec.PrefillTime(e.Spec.ChunkTokens)+e.Spec.stepTime(2, 100_400))
}

func TestNewestJobOfLowestPriorityIsPreempted(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 10_000)
	jobs := []*Job{
		{
			Prompt:       newPrompt(1, 2, 3000),
			OutputTokens: 400,
			Priority:     1,
		},
		{
			Prompt:       newPrompt(3, 4, 3000),
			OutputTokens: 400,
			Priority:     1,
		},
		{
			Prompt:       newPrompt(5, 6, 5000),
			OutputTokens: 10,
			Priority:     0,
		},
	}
	e.Submit(jobs[0], start)
	e.Submit(jobs[1], start.Add(time.Millisecond))
	e.Advance(start.Add(2 * time.Millisecond))
	for range 10 {
		next, _ := e.NextEvent()
		e.Advance(next)
	}
	e.Submit(jobs[2], start.Add(300*time.Millisecond))
	tokens := runToIdle(e)
	is.Equal(e.Preemptions(), 1)
	is.Equal(len(tokens[jobs[2]]), 10)
	is.Equal(jobs[0].PrefilledTokens(), 3100) // the older job was not preempted
	is.True(jobs[1].PrefilledTokens() > 3100)
	is.Equal(jobs[1].GeneratedTokens, 400)
}

func TestSubmitRejectsPromptLargerThanMemory(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 10_000)
	is.True(!e.Submit(&Job{Prompt: newPrompt(1, 2, 10_000)}, start))
}

func TestCancelFreesMemory(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(1, 10_000)
	first, second := &Job{
		Prompt:       newPrompt(1, 2, 8000),
		OutputTokens: 1000,
	}, &Job{
		Prompt:       newPrompt(3, 4, 8000),
		OutputTokens: 2,
	}
	e.Submit(first, start)
	e.Submit(second, start)
	for range 20 {
		next, _ := e.NextEvent()
		e.Advance(next)
	}
	e.Cancel(first)
	is.Equal(len(runToIdle(e)[second]), 2)
	is.Equal(e.heldTokens, 0)
	is.Equal(e.Requests(), 0)
}

// TestCancelledChunkIsCreditedToNobody guards against counting the chunk of a cancelled prompt as work on the next one,
// whose first token then came without its prefill.
func TestCancelledChunkIsCreditedToNobody(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 100_000)
	var jobs []*Job
	for id := range uint64(2) {
		jobs = append(jobs, &Job{
			Prompt:       newPrompt(10+id, 20+id, 2000),
			OutputTokens: 1,
		})
		e.Submit(jobs[id], start)
	}
	admitted, _ := e.NextEvent()
	e.Advance(admitted)
	e.Cancel(jobs[0])
	next, _ := e.NextEvent()
	e.Advance(next)
	is.Equal(jobs[1].PrefilledTokens(), 0)
	tokens := runToIdle(e)[jobs[1]]
	is.True(tokens[0].Sub(next) >= e.Spec.PrefillTime(2100))
}

// TestWaitingJobKeepsItsCachedParts guards against admitting a job by evicting the cached parts that it needs, for which
// there is no room then.
func TestWaitingJobKeepsItsCachedParts(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 12_000)
	for shared := range uint64(2) {
		e.Submit(&Job{
			Prompt:       newPrompt(shared, 10+shared, 5000),
			OutputTokens: 1,
		}, start)
		runToIdle(e)
	}
	// The shared part of the job is the least recently used, and 3,300 tokens have to be evicted for its own part.
	job := &Job{
		Prompt: prompt.Prompt{
			{
				ID:     0,
				Tokens: 5000,
			},
			{
				ID:     99,
				Tokens: 5000,
			},
		},
		OutputTokens: 1,
	}
	e.Submit(job, start.Add(time.Minute))
	for next, working := e.NextEvent(); working; next, working = e.NextEvent() {
		e.Advance(next)
		is.True(e.usedTokens() <= e.Spec.MemoryTokens)
	}
	is.Equal(job.PrefilledTokens(), 5000) // the shared part was still in the cache
}
