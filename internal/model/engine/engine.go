package engine

import (
	"slices"
	"time"

	"lagoongw/internal/state/prompt"
)

// Engine is one replica; time only moves forward in the calls.
type Engine struct {
	// Spec is how fast and how large the engine is.
	Spec Spec
	// Slowdown multiplies the time of every iteration; 0 counts as 1.
	Slowdown float64
	// OnPrefill is told of each part that was read, as opposed to found in the cache.
	OnPrefill func(part prompt.Part, shared bool)

	cache    *cache
	waiting  []*Job
	reading  []*Job
	running  []*Job
	held     int
	order    uint64
	busy     bool
	until    time.Time
	chunk    int
	preempts int
}

// New returns an idle engine with an empty memory.
func New(spec Spec, read func(part prompt.Part, shared bool)) *Engine {
	return &Engine{
		Spec:      spec,
		OnPrefill: read,
		cache:     newCache(),
	}
}

// Submit gives the engine a job; false says that it could never run here.
func (e *Engine) Submit(job *Job, now time.Time) bool {
	if job.context() >= e.Spec.MemoryTokens {
		return false
	}
	e.order++
	job.order = e.order
	job.ready = now.Add(e.Spec.PrefillDelay - e.Spec.start(e.Uncached(job.Prompt)))
	e.enqueue(job)
	e.start(now)
	return true
}

func (e *Engine) enqueue(job *Job) {
	at, _ := slices.BinarySearchFunc(e.waiting, job, (*Job).before)
	e.waiting = slices.Insert(e.waiting, at, job)
}

// Cancel takes a job away, wherever it is.
func (e *Engine) Cancel(job *Job) {
	e.waiting = without(e.waiting, job)
	e.drop(job)
}

func without(jobs []*Job, job *Job) []*Job {
	return slices.DeleteFunc(jobs, func(other *Job) bool { return other == job })
}

// drop takes a job out of the batch and frees what it held; its parts stay cached.
func (e *Engine) drop(job *Job) {
	switch {
	case slices.Contains(e.reading, job):
		e.reading = without(e.reading, job)
		e.cache.release(job.Prompt[:job.cached])
	case slices.Contains(e.running, job):
		e.running = without(e.running, job)
		e.cache.release(job.Prompt)
	}
	e.held -= job.held
	job.held = 0
}

// NextEvent returns when the engine has to be advanced; false says that it has nothing to do.
func (e *Engine) NextEvent() (time.Time, bool) {
	if e.busy {
		return e.until, true
	}
	next, found := time.Time{}, false
	for _, job := range e.waiting {
		if !found || job.ready.Before(next) {
			next, found = job.ready, true
		}
	}
	return next, found
}

// Advance moves the engine to a time that is not after Next, and returns what was done.
func (e *Engine) Advance(now time.Time) []Progress {
	var done []Progress
	if e.busy && !now.Before(e.until) {
		e.busy = false
		done = e.finishIteration(e.until)
	}
	e.start(now)
	return done
}

// start begins the next iteration, if there is anything to do.
func (e *Engine) start(now time.Time) {
	if e.busy {
		return
	}
	e.admit(now)
	if len(e.running) == 0 && len(e.reading) == 0 {
		return
	}
	context := 0
	for _, job := range e.running {
		context += job.context()
	}
	e.chunk = 0
	if len(e.reading) > 0 {
		e.chunk = min(e.Spec.ChunkTokens, e.reading[0].left)
	}
	length := e.Spec.step(len(e.running), context) + e.Spec.reading(e.chunk)
	if len(e.reading) > 0 && !e.reading[0].begun {
		e.reading[0].begun = true
		length += e.Spec.start(e.reading[0].left)
	}
	e.busy = true
	e.until = now.Add(time.Duration(float64(length) * max(e.Slowdown, 1)))
}

// admit moves waiting jobs into the batch; a more urgent one takes the place of a less urgent one that runs.
func (e *Engine) admit(now time.Time) {
	for i := 0; i < len(e.waiting); {
		job := e.waiting[i]
		if job.ready.After(now) {
			i++
			continue
		}
		if !e.makeRoom(job) {
			return
		}
		e.waiting = slices.Delete(e.waiting, i, i+1)
		e.take(job)
	}
}

func (e *Engine) take(job *Job) {
	job.cached = e.cache.prefix(job.Prompt)
	e.cache.use(job.Prompt[:job.cached])
	job.left = max(job.rest(), 1)
	job.held = job.rest()
	e.held += job.held
	e.reading = append(e.reading, job)
	slices.SortStableFunc(e.reading, (*Job).before)
}

// makeRoom frees a slot and memory for a job, at the cost of less urgent ones only.
func (e *Engine) makeRoom(job *Job) bool {
	for {
		cached := e.cache.prefix(job.Prompt)
		missing := e.used() + job.Prompt[cached:].Tokens() + job.GeneratedTokens + 1 - e.Spec.MemoryTokens
		if len(e.running)+len(e.reading) < e.Spec.Slots {
			if missing <= 0 || e.cache.shrink(missing) >= missing {
				return true
			}
		}
		victim := e.leastUrgent()
		if victim == nil || victim.Priority <= job.Priority {
			return false
		}
		e.preempt(victim)
	}
}

func (e *Engine) used() int { return e.cache.tokens + e.held }

// leastUrgent returns the newest of the least urgent jobs in the batch.
func (e *Engine) leastUrgent() *Job {
	var last *Job
	for _, job := range slices.Concat(e.running, e.reading) {
		if last == nil || last.before(job) < 0 {
			last = job
		}
	}
	return last
}

// preempt puts a job back among the waiting; what it had read is read again unless it is still cached then.
func (e *Engine) preempt(job *Job) {
	e.preempts++
	e.drop(job)
	e.enqueue(job)
}

// finishIteration gives each running job a token and the first reading one its chunk.
func (e *Engine) finishIteration(now time.Time) []Progress {
	var done []Progress
	for _, job := range slices.Clone(e.running) {
		if !slices.Contains(e.running, job) {
			continue // it was preempted for another one of this iteration
		}
		done = e.generate(job, now, done)
	}
	if e.chunk == 0 || len(e.reading) == 0 {
		return done
	}
	job := e.reading[0]
	job.left -= e.chunk
	job.read += e.chunk
	if job.left > 0 {
		return done
	}
	e.finishReading(job)
	return e.generate(job, now, done)
}

func (e *Engine) finishReading(job *Job) {
	e.reading = e.reading[1:]
	e.held -= job.held
	job.held = job.GeneratedTokens
	e.held += job.held
	for i, part := range job.Prompt[job.cached:] {
		e.OnPrefill(part, job.cached+i < len(job.Prompt)-1)
	}
	e.cache.use(job.Prompt[job.cached:])
	job.cached = len(job.Prompt)
	e.running = append(e.running, job)
}

// generate gives a running job one token, for which other jobs may have to yield.
func (e *Engine) generate(job *Job, now time.Time, done []Progress) []Progress {
	for e.used()+1 > e.Spec.MemoryTokens && e.cache.shrink(1) == 0 {
		victim := e.leastUrgent()
		e.preempt(victim)
		if victim == job {
			return done
		}
	}
	job.GeneratedTokens++
	job.held++
	e.held++
	ended := job.GeneratedTokens >= job.OutputTokens
	if ended {
		e.drop(job)
	}
	return append(done, Progress{
		Job:   job,
		At:    now,
		Ended: ended,
	})
}

// Requests returns the number of jobs at the engine.
func (e *Engine) Requests() int { return len(e.waiting) + len(e.reading) + len(e.running) }

// Running returns the number of jobs that generate.
func (e *Engine) Running() int { return len(e.running) }

// Preemptions returns how often a job had to yield.
func (e *Engine) Preemptions() int { return e.preempts }

// Backlog returns the prompt tokens that are read before those of a new job of that priority.
func (e *Engine) Backlog(priority int) int {
	total := 0
	for _, job := range e.waiting {
		if job.Priority <= priority {
			total += job.Prompt[e.cache.prefix(job.Prompt):].Tokens()
		}
	}
	for _, job := range e.reading {
		total += job.left
	}
	return total
}

// Uncached returns how many tokens of a prompt would have to be read now.
func (e *Engine) Uncached(p prompt.Prompt) int { return p[e.cache.prefix(p):].Tokens() }
