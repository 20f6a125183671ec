package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"lagoongw/test/fleet"
)

func main() {
	fleet.RunProgram("demo", run)
}

func run(ctx context.Context) error {
	dir, err := fleet.TempDir()
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Println("building, then starting a platform, 3 engines, 2 order desks and 3 nodes in 2 regions")
	f, err := fleet.Start(ctx, dir, fleet.Settings{
		Nodes:    3,
		Engines:  3,
		Services: 2,
	})
	defer f.Stop()
	if err != nil {
		return err
	}
	for _, step := range []func(context.Context, *fleet.Fleet) error{
		publish,
		stream,
		orderTwice,
		killUnderLoad,
		counters,
	} {
		if err := step(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

func publish(ctx context.Context, f *fleet.Fleet) error {
	verdict, err := f.Publish(ctx, f.Nodes[0], "demo", fleet.Rules())
	if err != nil {
		return err
	}
	fmt.Printf("\nrule file published: revision %d\n", verdict.Revision)
	if err := f.WaitRevision(ctx, verdict.Revision, f.Nodes...); err != nil {
		return err
	}
	fmt.Println("in force at every node")
	return nil
}

func stream(ctx context.Context, f *fleet.Fleet) error {
	answer, err := fleet.PostChat(ctx, f.Nodes[1], fleet.MillToken, "which coil next?", 8, true)
	if err != nil {
		return err
	}
	fmt.Printf("\nstreamed answer %s: %s, %d pieces: %s\n", answer.RequestID, answer.Outcome, len(answer.ChunkOffsets), answer.Text)
	return nil
}

func orderTwice(ctx context.Context, f *fleet.Fleet) error {
	fmt.Println("\nthe same order through two nodes:")
	for _, node := range f.Nodes[:2] {
		time.Sleep(100 * time.Millisecond)
		answer, err := fleet.PostOrder(ctx, node, fleet.MillToken, "cut-4711", `{"panels":12}`)
		if err != nil {
			return err
		}
		fmt.Printf("  %s: %d %s %s\n", node.Name, answer.Status, answer.Outcome, answer.Body)
	}
	return nil
}

func killUnderLoad(ctx context.Context, f *fleet.Fleet) error {
	const orders = 60
	fmt.Printf("\n%d orders through entry-3, which is killed in the middle; each is asked for again at entry-1, and once more after a second if need be:\n", orders)
	learned := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range orders {
		if i == orders/2 {
			go f.Nodes[2].Kill()
		}
		time.Sleep(5 * time.Millisecond)
		group.Go(func() {
			word := orderThrough(ctx, f, fmt.Sprintf("load-%d", i))
			mu.Lock()
			defer mu.Unlock()
			learned[word]++
		})
	}
	group.Wait()
	for word, count := range learned {
		fmt.Printf("  %3d × %s\n", count, word)
	}
	return nil
}

func orderThrough(ctx context.Context, f *fleet.Fleet, key string) string {
	first, err := fleet.PostOrder(ctx, f.Nodes[2], fleet.MillToken, key, key)
	word := first.Outcome
	if err != nil {
		word = "no answer"
	}
	const retryAfter = 1200 * time.Millisecond
	for range 2 {
		next, err := fleet.PostOrder(ctx, f.Nodes[0], fleet.MillToken, key, key)
		if err != nil {
			return word + ", then no answer"
		}
		word += ", then " + next.Outcome
		if next.Outcome == "completed" {
			break
		}
		time.Sleep(retryAfter)
	}
	return word
}

func counters(ctx context.Context, f *fleet.Fleet) error {
	executions, err := f.Executions(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\norder desks executed %d different orders; %d of them more than once\n", len(executions), fleet.CountRepeated(executions))
	return nil
}
