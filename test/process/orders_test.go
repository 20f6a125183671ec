package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"lagoongw/test/fleet"
	"lagoongw/test/standin"
)

const (
	callerCount   = 8
	maxAttempts   = 6
	seed          = 20261204
	retryInterval = 150 * time.Millisecond
	faultInterval = 400 * time.Millisecond
)

// startFleet starts a fleet with fleet.Rules in force at every node, and stops it when the test ends.
func startFleet(t *testing.T, settings fleet.Settings) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(t.Context(), t.TempDir(), settings)
	t.Cleanup(f.Stop)
	if err != nil {
		t.Fatal(err)
	}
	verdict, err := f.Publish(t.Context(), f.Nodes[0], "start", fleet.Rules())
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitRevision(t.Context(), verdict.Revision, f.Nodes...); err != nil {
		t.Fatal(err)
	}
	return f
}

// outcomeCounts counts the outcomes that a caller received for one key.
type outcomeCounts struct {
	completed  int
	unknown    int
	notRun     int
	noResponse int
}

// loadGenerator sends orders with idempotency keys from several callers until finish is called, and repeats each at a
// random node until it is completed or maxAttempts are used up.
type loadGenerator struct {
	fleet    *fleet.Fleet
	mu       sync.Mutex
	outcomes map[string]*outcomeCounts
	stop     chan struct{}
	group    sync.WaitGroup
}

func startLoad(ctx context.Context, f *fleet.Fleet) *loadGenerator {
	l := &loadGenerator{
		fleet:    f,
		outcomes: map[string]*outcomeCounts{},
		stop:     make(chan struct{}),
	}
	for caller := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		l.group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.order(ctx, random, fmt.Sprintf("cut-%d-%d", caller, number))
			}
		})
	}
	return l
}

// order sends one order, repeats it if necessary and records the outcomes.
func (l *loadGenerator) order(ctx context.Context, random *rand.Rand, key string) {
	counts := &outcomeCounts{}
	for range maxAttempts {
		node := l.fleet.Nodes[random.IntN(len(l.fleet.Nodes))]
		requestCtx, cancel := context.WithTimeout(ctx, 6*time.Second)
		response, err := fleet.PostOrder(requestCtx, node, fleet.MillToken, key, key)
		cancel()
		switch {
		case err != nil:
			counts.noResponse++
		case response.Outcome == "completed":
			counts.completed++
		case response.Outcome == "not-run":
			counts.notRun++
		default:
			counts.unknown++
		}
		if counts.completed > 0 {
			break
		}
		time.Sleep(retryInterval)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[key] = counts
}

// finish stops the callers, waits for them and returns the outcomes by key.
func (l *loadGenerator) finish() map[string]*outcomeCounts {
	close(l.stop)
	l.group.Wait()
	return l.outcomes
}

// checkOutcomes fails the test if the outcomes that callers received contradict the executions at the order services.
func checkOutcomes(t *testing.T, f *fleet.Fleet, outcomes map[string]*outcomeCounts) {
	t.Helper()
	executions, err := f.Executions(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	completed, notCompleted := 0, 0
	for key, counts := range outcomes {
		executionCount := executions[key]
		reportedNotRunOnly := counts.notRun > 0 && counts.unknown+counts.noResponse+counts.completed == 0
		switch {
		case executionCount > 1:
			t.Errorf("%s was executed %d times", key, executionCount)
		case counts.completed > 0 && executionCount != 1:
			t.Errorf("%s: outcome is completed, but it was executed %d times", key, executionCount)
		case reportedNotRunOnly && executionCount > 0:
			t.Errorf("%s: every outcome is not-run, but it was executed", key)
		}
		if counts.completed > 0 {
			completed++
		} else {
			notCompleted++
		}
	}
	t.Logf("%d orders: %d completed, %d refused or of unknown outcome", len(outcomes), completed, notCompleted)
	if completed == 0 {
		t.Error("no order was completed, so the test has verified nothing")
	}
}

// Orders must be executed at most once, and their reported outcomes must be true, while nodes are killed or frozen, the
// log loses, refuses and delays appends, and order services crash or lose responses.
func TestOrdersUnderKillsFreezesAndOutages(t *testing.T) {
	f := startFleet(t, fleet.Settings{
		Nodes:    9,
		Engines:  1,
		Services: 3,
	})
	l := startLoad(t.Context(), f)
	for _, step := range []func(){
		func() { f.Nodes[4].Kill() },
		func() { f.Nodes[3].Signal(syscall.SIGSTOP) },
		func() { setFault(t, f, f.Platform, standin.FaultLoseAnswer, 5) },
		func() { setFault(t, f, f.Platform, standin.FaultRefuse, -1) },
		func() { f.Nodes[3].Signal(syscall.SIGCONT) },
		func() { setFault(t, f, f.Platform, standin.FaultRefuse, 0) },
		func() { setFault(t, f, f.Platform, standin.FaultLateApply, 5) },
		func() { setFault(t, f, f.Services[0], standin.FaultLoseAnswer, 5) },
		func() { setFault(t, f, f.Services[1], standin.FaultCrash, 5) },
		func() { f.Nodes[2].Kill() },
	} {
		time.Sleep(faultInterval)
		step()
	}
	time.Sleep(2 * faultInterval)
	checkOutcomes(t, f, l.finish())
}

// setFault sets a fault of a stand-in, or clears it if times is 0; the delay applies to FaultLateApply only.
func setFault(t *testing.T, f *fleet.Fleet, p *fleet.Process, kind string, times int) {
	t.Helper()
	err := f.SetFault(t.Context(), p, standin.Fault{
		Kind:    kind,
		Times:   times,
		DelayMs: 700,
	})
	if err != nil {
		t.Error(err)
	}
}
