package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/prompt"
)

var begin = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

func promptOf(shared, own uint64, tokens int) prompt.Prompt {
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

// play advances an engine until it has nothing to do and returns when each job had its tokens.
func play(e *Engine) map[*Job][]time.Time {
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

func newEngine(slots, memory int) (e *Engine, read *int) {
	read = new(int)
	return New(PublishedSpec(slots, memory), func(part prompt.Part, _ bool) { *read += part.Tokens }), read
}

func TestTheFirstTokenComesAfterThePromptWasRead(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 100_000)
	job := &Job{
		Prompt:       promptOf(1, 2, 6140),
		OutputTokens: 3,
	}
	is.True(e.Submit(job, begin))
	tokens := play(e)[job]
	is.Equal(len(tokens), 3)
	is.Equal(tokens[0].Sub(begin).Round(time.Millisecond), 220*time.Millisecond) // 120 to begin, 6,240 tokens at 62.4 a millisecond
	is.True(tokens[1].Sub(tokens[0]) >= e.Spec.StepBaseTime)
}

func TestCachedPartsAreNotReadAgain(t *testing.T) {
	is := is.New(t)
	e, read := newEngine(64, 100_000)
	for own := range uint64(3) {
		e.Submit(&Job{
			Prompt:       promptOf(1, 10+own, 5000),
			OutputTokens: 1,
		}, begin.Add(time.Duration(own)*time.Second))
		play(e)
	}
	is.Equal(*read, 5000+3*100)
}

func TestTheLeastRecentlyUsedPartsYield(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 12_000)
	for shared := range uint64(3) {
		e.Submit(&Job{
			Prompt:       promptOf(shared, 10+shared, 5000),
			OutputTokens: 1,
		}, begin.Add(time.Duration(shared)*time.Second))
		play(e)
	}
	is.Equal(e.Uncached(promptOf(0, 99, 5000)), 5100) // the oldest went
	is.Equal(e.Uncached(promptOf(2, 99, 5000)), 100)
}

func TestReadingDoesNotStopOthersForLongerThanAChunk(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 400_000)
	runs := &Job{
		Prompt:       promptOf(1, 2, 100),
		OutputTokens: 100,
	}
	e.Submit(runs, begin)
	e.Submit(&Job{
		Prompt:       promptOf(3, 4, 100_000),
		OutputTokens: 1,
	}, begin)
	tokens := play(e)[runs]
	longest := time.Duration(0)
	for i := 1; i < len(tokens); i++ {
		longest = max(longest, tokens[i].Sub(tokens[i-1]))
	}
	is.True(longest <= e.Spec.PrefillSetupTime+e.Spec.reading(e.Spec.ChunkTokens)+e.Spec.step(2, 100_400))
}

func TestTheNewestOfTheLeastUrgentYields(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 10_000)
	jobs := []*Job{
		{
			Prompt:       promptOf(1, 2, 3000),
			OutputTokens: 400,
			Priority:     1,
		},
		{
			Prompt:       promptOf(3, 4, 3000),
			OutputTokens: 400,
			Priority:     1,
		},
		{
			Prompt:       promptOf(5, 6, 5000),
			OutputTokens: 10,
			Priority:     0,
		},
	}
	e.Submit(jobs[0], begin)
	e.Submit(jobs[1], begin.Add(time.Millisecond))
	e.Advance(begin.Add(2 * time.Millisecond))
	for range 10 {
		next, _ := e.NextEvent()
		e.Advance(next)
	}
	e.Submit(jobs[2], begin.Add(300*time.Millisecond))
	tokens := play(e)
	is.Equal(e.Preemptions(), 1)
	is.Equal(len(tokens[jobs[2]]), 10)
	is.Equal(jobs[0].PrefilledTokens(), 3100) // the older one ran on
	is.True(jobs[1].PrefilledTokens() > 3100)
	is.Equal(jobs[1].GeneratedTokens, 400)
}

func TestWhatIsLargerThanTheMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(64, 10_000)
	is.True(!e.Submit(&Job{Prompt: promptOf(1, 2, 10_000)}, begin))
}

func TestACancelledJobFreesItsMemory(t *testing.T) {
	is := is.New(t)
	e, _ := newEngine(1, 10_000)
	first, second := &Job{
		Prompt:       promptOf(1, 2, 8000),
		OutputTokens: 1000,
	}, &Job{
		Prompt:       promptOf(3, 4, 8000),
		OutputTokens: 2,
	}
	e.Submit(first, begin)
	e.Submit(second, begin)
	for range 20 {
		next, _ := e.NextEvent()
		e.Advance(next)
	}
	e.Cancel(first)
	is.Equal(len(play(e)[second]), 2)
	is.Equal(e.held, 0)
	is.Equal(e.Requests(), 0)
}
