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
	callers   = 8
	tries     = 6
	seed      = 20261204
	askPause  = 150 * time.Millisecond
	stepPause = 400 * time.Millisecond
)

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

// learned is every word that a caller was told about one key.
type learned struct {
	completed int
	unknown   int
	notRun    int
	silent    int
}

// load sends keyed orders from several callers until told to stop, each asked for again at any node until it is final.
type load struct {
	fleet *fleet.Fleet
	mu    sync.Mutex
	keys  map[string]*learned
	stop  chan struct{}
	group sync.WaitGroup
}

func startLoad(ctx context.Context, f *fleet.Fleet) *load {
	l := &load{
		fleet: f,
		keys:  map[string]*learned{},
		stop:  make(chan struct{}),
	}
	for caller := range callers {
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

func (l *load) order(ctx context.Context, random *rand.Rand, key string) {
	words := &learned{}
	for range tries {
		node := l.fleet.Nodes[random.IntN(len(l.fleet.Nodes))]
		within, cancel := context.WithTimeout(ctx, 6*time.Second)
		answer, err := fleet.PostOrder(within, node, fleet.MillToken, key, key)
		cancel()
		switch {
		case err != nil:
			words.silent++
		case answer.Outcome == "completed":
			words.completed++
		case answer.Outcome == "not-run":
			words.notRun++
		default:
			words.unknown++
		}
		if words.completed > 0 {
			break
		}
		time.Sleep(askPause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = words
}

func (l *load) finish() map[string]*learned {
	close(l.stop)
	l.group.Wait()
	return l.keys
}

// audit compares what callers were told with the order desks' counters.
func audit(t *testing.T, f *fleet.Fleet, keys map[string]*learned) {
	t.Helper()
	executions, err := f.Executions(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	completed, open := 0, 0
	for key, words := range keys {
		ran := executions[key]
		onlyNotRun := words.notRun > 0 && words.unknown+words.silent+words.completed == 0
		switch {
		case ran > 1:
			t.Errorf("%s ran %d times", key, ran)
		case words.completed > 0 && ran != 1:
			t.Errorf("%s: told completed, but ran %d times", key, ran)
		case onlyNotRun && ran > 0:
			t.Errorf("%s: told not-run alone, but ran", key)
		}
		if words.completed > 0 {
			completed++
		} else {
			open++
		}
	}
	t.Logf("%d orders: %d completed, %d left open or refused, none ran twice", len(keys), completed, open)
	if completed == 0 {
		t.Error("no order completed; the run shows nothing")
	}
}

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
		time.Sleep(stepPause)
		step()
	}
	time.Sleep(2 * stepPause)
	audit(t, f, l.finish())
}

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
