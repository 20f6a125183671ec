package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"lagoongw/test/fleet"
	"lagoongw/test/standin"
)

type settings struct {
	Length time.Duration `long:"length" default:"60s" description:"length of the outage"`
	Rate   int           `long:"rate" default:"20" description:"orders a second of each sort"`
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		os.Exit(2)
	}
	fleet.RunProgram("outage", func(ctx context.Context) error { return run(ctx, s) })
}

// results counts the outcomes that callers received and records their highest latency; it is safe for concurrent use.
type results struct {
	mu         sync.Mutex
	outcomes   map[string]int
	maxLatency time.Duration
}

func (r *results) add(outcome string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
	r.maxLatency = max(r.maxLatency, latency)
}

func run(ctx context.Context, s settings) error {
	dir, err := fleet.TempDir()
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(ctx, dir, fleet.Settings{
		Nodes:    3,
		Engines:  1,
		Services: 2,
	})
	defer f.Stop()
	if err != nil {
		return err
	}
	verdict, err := f.Publish(ctx, f.Nodes[0], "outage", fleet.Rules())
	if err != nil {
		return err
	}
	if err := f.WaitRevision(ctx, verdict.Revision, f.Nodes...); err != nil {
		return err
	}
	if err := f.SetFault(ctx, f.Platform, standin.Fault{
		Kind:  standin.FaultRefuse,
		Times: -1,
	}); err != nil {
		return err
	}
	callerKeys, issuedKeys := &results{outcomes: map[string]int{}}, &results{outcomes: map[string]int{}}
	sendOrders(ctx, f, s, callerKeys, issuedKeys)
	fmt.Printf("outage of %s, 3 nodes, %d orders per second with each kind of key\n", s.Length, s.Rate)
	fmt.Printf("callers' keys: %v, maximum latency %s\n",
		callerKeys.outcomes, callerKeys.maxLatency.Round(time.Millisecond))
	fmt.Printf("issued keys:   %v, maximum latency %s\n",
		issuedKeys.outcomes, issuedKeys.maxLatency.Round(time.Millisecond))
	return printExecutions(ctx, f)
}

// sendOrders sends orders with callers' keys and with issued keys, each at the given rate for the length of the outage,
// to all nodes in turn.
func sendOrders(ctx context.Context, f *fleet.Fleet, s settings, callerKeys, issuedKeys *results) {
	var group sync.WaitGroup
	start := time.Now()
	for i := range int(s.Length.Seconds()) * s.Rate {
		if ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(s.Rate))))
		node := f.Nodes[i%len(f.Nodes)]
		group.Go(func() {
			key := fmt.Sprint("plain-", i)
			sent := time.Now()
			callerKeys.add(outcomeOf(fleet.PostOrder(ctx, node, fleet.MillToken, key, key)), time.Since(sent))
		})
		group.Go(func() {
			sent := time.Now()
			key, err := fleet.IssueKey(ctx, node, fleet.MillToken)
			if err != nil {
				issuedKeys.add("no key", time.Since(sent))
				return
			}
			issuedKeys.add(outcomeOf(fleet.PostOrder(ctx, node, fleet.MillToken, key, key)), time.Since(sent))
		})
	}
	group.Wait()
}

// outcomeOf returns the outcome of an order, or "no response" after an error.
func outcomeOf(response fleet.Response, err error) string {
	if err != nil {
		return "no response"
	}
	return response.Outcome
}

func printExecutions(ctx context.Context, f *fleet.Fleet) error {
	executions, err := f.Executions(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("order services executed %d orders, %d of them more than once\n",
		len(executions), fleet.CountRepeated(executions))
	return nil
}
