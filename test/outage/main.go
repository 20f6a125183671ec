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

// counts is what callers were told, and how long they waited for the word.
type counts struct {
	mu      sync.Mutex
	words   map[string]int
	longest time.Duration
}

func (c *counts) add(word string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.words[word]++
	c.longest = max(c.longest, took)
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
	plain, issued := &counts{words: map[string]int{}}, &counts{words: map[string]int{}}
	load(ctx, f, s, plain, issued)
	fmt.Printf("outage of %s, 3 nodes, %d orders a second of each sort\n", s.Length, s.Rate)
	fmt.Printf("callers' keys: %v, longest wait for the word %s\n", plain.words, plain.longest.Round(time.Millisecond))
	fmt.Printf("issued keys:   %v, longest wait for the word %s\n", issued.words, issued.longest.Round(time.Millisecond))
	return audit(ctx, f)
}

func load(ctx context.Context, f *fleet.Fleet, s settings, plain, issued *counts) {
	var group sync.WaitGroup
	begin := time.Now()
	for i := range int(s.Length.Seconds()) * s.Rate {
		if ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(s.Rate))))
		node := f.Nodes[i%len(f.Nodes)]
		group.Go(func() {
			key := fmt.Sprint("plain-", i)
			sent := time.Now()
			plain.add(word(fleet.PostOrder(ctx, node, fleet.MillToken, key, key)), time.Since(sent))
		})
		group.Go(func() {
			sent := time.Now()
			key, err := fleet.IssueKey(ctx, node, fleet.MillToken)
			if err != nil {
				issued.add("no key", time.Since(sent))
				return
			}
			issued.add(word(fleet.PostOrder(ctx, node, fleet.MillToken, key, key)), time.Since(sent))
		})
	}
	group.Wait()
}

func word(answer fleet.Response, err error) string {
	if err != nil {
		return "no answer"
	}
	return answer.Outcome
}

func audit(ctx context.Context, f *fleet.Fleet) error {
	executions, err := f.Executions(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("order desks: %d orders ran, %d of them more than once\n", len(executions), fleet.CountRepeated(executions))
	return nil
}
