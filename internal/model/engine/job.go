package engine

import (
	"time"

	"lagoongw/internal/state/prompt"
)

// Job is one request at an engine; its exported fields are set before it is submitted.
type Job struct {
	// Prompt is what has to be read.
	Prompt prompt.Prompt
	// OutputTokens is the tokens to generate, GeneratedTokens those that were generated, here or at an engine before.
	OutputTokens    int
	GeneratedTokens int
	// Priority is 0 for the most urgent.
	Priority int

	order  uint64
	ready  time.Time
	cached int
	left   int
	held   int
	read   int
	begun  bool
}

// PrefilledTokens returns the tokens of the prompt that engines have read for the job, some of them more than once.
func (j *Job) PrefilledTokens() int { return j.read }

// Progress is what an engine did for a job.
type Progress struct {
	Job *Job
	At  time.Time
	// Ended tells that the last token was generated.
	Ended bool
}

// rest is what a job's reading does not find in the cache: the parts after the cached ones and what it had generated.
func (j *Job) rest() int { return j.Prompt[j.cached:].Tokens() + j.GeneratedTokens }

// context is the tokens that a running job attends to.
func (j *Job) context() int { return j.Prompt.Tokens() + j.GeneratedTokens }

// before orders jobs as an engine takes them: by priority, then by age.
func (j *Job) before(other *Job) int {
	if j.Priority != other.Priority {
		return j.Priority - other.Priority
	}
	if j.order < other.order {
		return -1
	}
	return 1
}
