package engine

import (
	"slices"
	"time"

	"lagoongw/internal/state/prompt"
)

// Engine is one simulated replica. It works in iterations, each of which is a decode step, a chunk of prefill, or both.
// The times passed to its methods must not decrease. It is not safe for concurrent use.
type Engine struct {
	// Spec is the speed and the size of the engine.
	Spec Spec
	// Slowdown multiplies the duration of every iteration; values below 1 count as 1.
	Slowdown float64
	// OnPrefill is called for each prompt part that was prefilled rather than found in the cache. shared is false for the
	// last part of a prompt, which is specific to its request.
	OnPrefill func(part prompt.Part, shared bool)

	cache *cache
	// waiting is the queue; prefilling and running are the batch. waiting and prefilling are sorted by Job.compare.
	waiting    []*Job
	prefilling []*Job
	running    []*Job
	// heldTokens is the memory, in tokens, that the batch takes in addition to the cache.
	heldTokens   int
	lastSequence uint64
	// busy reports whether an iteration is running, which ends at iterationEnd and prefills chunkTokens of chunkJob, if set.
	busy         bool
	iterationEnd time.Time
	chunkJob     *Job
	chunkTokens  int
	preemptions  int
}

// New returns an idle engine with an empty cache; onPrefill becomes OnPrefill.
func New(spec Spec, onPrefill func(part prompt.Part, shared bool)) *Engine {
	return &Engine{
		Spec:      spec,
		OnPrefill: onPrefill,
		cache:     newCache(),
	}
}

// Submit adds a job to the queue. It returns false if the job's context does not fit in the engine's memory.
func (e *Engine) Submit(job *Job, now time.Time) bool {
	if job.contextTokens() >= e.Spec.MemoryTokens {
		return false
	}
	e.lastSequence++
	job.sequence = e.lastSequence
	job.readyAt = now.Add(e.Spec.PrefillDelay - e.Spec.setupTime(e.Uncached(job.Prompt)))
	e.enqueue(job)
	e.startIteration(now)
	return true
}

func (e *Engine) enqueue(job *Job) {
	i, _ := slices.BinarySearchFunc(e.waiting, job, (*Job).compare)
	e.waiting = slices.Insert(e.waiting, i, job)
}

// Cancel removes a job from the queue or from the batch.
func (e *Engine) Cancel(job *Job) {
	e.waiting = removeJob(e.waiting, job)
	e.removeFromBatch(job)
}

func removeJob(jobs []*Job, job *Job) []*Job {
	return slices.DeleteFunc(jobs, func(other *Job) bool { return other == job })
}

// removeFromBatch removes a job from the batch and frees the memory that it holds. Its prompt parts stay in the cache
// until they are evicted.
func (e *Engine) removeFromBatch(job *Job) {
	switch {
	case slices.Contains(e.prefilling, job):
		e.prefilling = removeJob(e.prefilling, job)
		e.cache.release(job.Prompt[:job.cachedParts])
	case slices.Contains(e.running, job):
		e.running = removeJob(e.running, job)
		e.cache.release(job.Prompt)
	}
	e.heldTokens -= job.heldTokens
	job.heldTokens = 0
}

// NextEvent returns the time at which Advance has to be called next, or false if no iteration is running and the queue
// is empty.
func (e *Engine) NextEvent() (time.Time, bool) {
	if e.busy {
		return e.iterationEnd, true
	}
	next, found := time.Time{}, false
	for _, job := range e.waiting {
		if !found || job.readyAt.Before(next) {
			next, found = job.readyAt, true
		}
	}
	return next, found
}

// Advance moves the engine to a time that is not after NextEvent and returns the tokens that were generated.
func (e *Engine) Advance(now time.Time) []Progress {
	var progress []Progress
	if e.busy && !now.Before(e.iterationEnd) {
		e.busy = false
		progress = e.finishIteration(e.iterationEnd)
	}
	e.startIteration(now)
	return progress
}

// startIteration admits waiting jobs and starts the next iteration, unless one is running or the batch is empty.
func (e *Engine) startIteration(now time.Time) {
	if e.busy {
		return
	}
	e.admit(now)
	if len(e.running) == 0 && len(e.prefilling) == 0 {
		return
	}
	contextTokens := 0
	for _, job := range e.running {
		contextTokens += job.contextTokens()
	}
	e.chunkJob = nil
	duration := e.Spec.stepTime(len(e.running), contextTokens)
	if len(e.prefilling) > 0 {
		job := e.prefilling[0]
		e.chunkJob = job
		e.chunkTokens = min(e.Spec.ChunkTokens, job.remainingPrefill)
		duration += e.Spec.PrefillTime(e.chunkTokens) +
			e.Spec.attentionTime(e.chunkTokens, job.contextTokens()-job.remainingPrefill)
	}
	if len(e.prefilling) > 0 && !e.prefilling[0].prefillStarted {
		e.prefilling[0].prefillStarted = true
		duration += e.Spec.setupTime(e.prefilling[0].remainingPrefill)
	}
	e.busy = true
	e.iterationEnd = now.Add(time.Duration(float64(duration) * max(e.Slowdown, 1)))
}

// admit moves waiting jobs into the batch in order of priority, preempting jobs of lower priority if there is no room.
func (e *Engine) admit(now time.Time) {
	for i := 0; i < len(e.waiting); {
		job := e.waiting[i]
		if job.readyAt.After(now) {
			i++
			continue
		}
		if !e.makeRoom(job) {
			return
		}
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.addToBatch(job)
	}
}

func (e *Engine) addToBatch(job *Job) {
	job.cachedParts = e.cache.prefix(job.Prompt)
	e.cache.acquire(job.Prompt[:job.cachedParts])
	// At least 1, since a job leaves the prefill only at the end of a chunk, also if its whole prompt is cached.
	job.remainingPrefill = max(job.uncachedTokens(), 1)
	job.heldTokens = job.uncachedTokens()
	e.heldTokens += job.heldTokens
	e.prefilling = append(e.prefilling, job)
	slices.SortStableFunc(e.prefilling, (*Job).compare)
}

// makeRoom frees a slot and memory for a job, whose own cached parts it keeps. It preempts only jobs of lower priority,
// and returns false if that is not enough.
func (e *Engine) makeRoom(job *Job) bool {
	for {
		cachedParts := e.cache.prefix(job.Prompt)
		shortfall := e.usedTokens() + job.Prompt[cachedParts:].Tokens() + job.GeneratedTokens + 1 - e.Spec.MemoryTokens
		if len(e.running)+len(e.prefilling) < e.Spec.Slots {
			e.cache.retain(job.Prompt[:cachedParts])
			freed := e.cache.evict(shortfall)
			e.cache.release(job.Prompt[:cachedParts])
			if freed >= shortfall {
				return true
			}
		}
		victim := e.lowestPriority()
		if victim == nil || victim.Priority <= job.Priority {
			return false
		}
		e.preempt(victim)
	}
}

func (e *Engine) usedTokens() int { return e.cache.tokens + e.heldTokens }

// lowestPriority returns the newest job of the lowest priority in the batch.
func (e *Engine) lowestPriority() *Job {
	var lowest *Job
	for _, job := range slices.Concat(e.running, e.prefilling) {
		if lowest == nil || lowest.compare(job) < 0 {
			lowest = job
		}
	}
	return lowest
}

// preempt moves a job from the batch back to the queue. When it is admitted again, its prompt parts that were evicted
// meanwhile are prefilled again.
func (e *Engine) preempt(job *Job) {
	e.preemptions++
	e.removeFromBatch(job)
	e.enqueue(job)
}

// finishIteration generates a token for each running job and completes the chunk of the prompt in prefill.
func (e *Engine) finishIteration(now time.Time) []Progress {
	var progress []Progress
	for _, job := range slices.Clone(e.running) {
		if !slices.Contains(e.running, job) {
			continue // preempted for another job of this iteration
		}
		progress = e.generateToken(job, now, progress)
	}
	job := e.chunkJob
	if !slices.Contains(e.prefilling, job) {
		return progress // cancelled or preempted during the iteration
	}
	job.remainingPrefill -= e.chunkTokens
	job.prefilledTokens += e.chunkTokens
	if job.remainingPrefill > 0 {
		return progress
	}
	e.finishPrefill(job)
	return e.generateToken(job, now, progress)
}

func (e *Engine) finishPrefill(job *Job) {
	e.prefilling = removeJob(e.prefilling, job)
	e.heldTokens -= job.heldTokens
	job.heldTokens = job.GeneratedTokens
	e.heldTokens += job.heldTokens
	for i, part := range job.Prompt[job.cachedParts:] {
		e.OnPrefill(part, job.cachedParts+i < len(job.Prompt)-1)
	}
	e.cache.acquire(job.Prompt[job.cachedParts:])
	job.cachedParts = len(job.Prompt)
	e.running = append(e.running, job)
}

// generateToken generates one token for a running job. If the memory is full, it preempts jobs, possibly this one.
func (e *Engine) generateToken(job *Job, now time.Time, progress []Progress) []Progress {
	for e.usedTokens()+1 > e.Spec.MemoryTokens && e.cache.evict(1) == 0 {
		victim := e.lowestPriority()
		e.preempt(victim)
		if victim == job {
			return progress
		}
	}
	job.GeneratedTokens++
	job.heldTokens++
	e.heldTokens++
	ended := job.GeneratedTokens >= job.OutputTokens
	if ended {
		e.removeFromBatch(job)
	}
	return append(progress, Progress{
		Job:   job,
		At:    now,
		Ended: ended,
	})
}

// Requests returns the number of jobs in the queue and in the batch.
func (e *Engine) Requests() int { return len(e.waiting) + len(e.prefilling) + len(e.running) }

// Running returns the number of jobs that generate tokens.
func (e *Engine) Running() int { return len(e.running) }

// Preemptions returns the number of preemptions so far.
func (e *Engine) Preemptions() int { return e.preemptions }

// Backlog returns the number of prompt tokens that are prefilled before those of a new job of the given priority. All
// prompts in prefill count, also those of a lower priority.
func (e *Engine) Backlog(priority int) int {
	total := 0
	for _, job := range e.waiting {
		if job.Priority <= priority {
			total += job.Prompt[e.cache.prefix(job.Prompt):].Tokens()
		}
	}
	for _, job := range e.prefilling {
		total += job.remainingPrefill
	}
	return total
}

// Uncached returns the number of prompt tokens that are not in the cache.
func (e *Engine) Uncached(p prompt.Prompt) int { return p[e.cache.prefix(p):].Tokens() }
