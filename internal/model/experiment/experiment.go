package experiment

import (
	"context"
	"runtime"
	"sync"

	"lagoongw/internal/model/site"
)

// Experiment simulates one installation under several policies and seeds. Its exported fields are set before Run.
type Experiment struct {
	// Name is the name of the experiment in reports.
	Name string
	// Spec is the installation.
	Spec site.Spec
	// Policies lists the policies to compare. All run with the same seeds, so that they get the same requests.
	Policies []site.Policy
	// Seeds is the number of runs of each policy, at least 1. The seeds are numbered from 1.
	Seeds int
}

// Outcome holds the results of all runs of one policy, in the order of the seeds.
type Outcome struct {
	Policy site.Policy
	Runs   []*site.Result
}

// Run executes all runs, as many at once as GOMAXPROCS, and returns an Outcome for each policy in the order of
// Policies. Once ctx is done it starts no more runs and returns the error of ctx.
func (e *Experiment) Run(ctx context.Context) ([]Outcome, error) {
	outcomes := make([]Outcome, len(e.Policies))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i, policy := range e.Policies {
		outcomes[i] = Outcome{
			Policy: policy,
			Runs:   make([]*site.Result, e.Seeds),
		}
		for seed := range e.Seeds {
			group.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				if ctx.Err() == nil {
					outcomes[i].Runs[seed] = site.Run(e.Spec, policy, uint64(seed+1))
				}
			})
		}
	}
	group.Wait()
	return outcomes, ctx.Err()
}
