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
	fmt.Println("building and starting a platform, 3 engines, 2 order services and 3 nodes in 2 regions")
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
		streamChat,
		orderTwice,
		killUnderLoad,
		printExecutions,
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
	fmt.Println("rule file in force at every node")
	return nil
}

func streamChat(ctx context.Context, f *fleet.Fleet) error {
	response, err := fleet.PostChat(ctx, f.Nodes[1], fleet.MillToken, "which coil next?", 8, true)
	if err != nil {
		return err
	}
	fmt.Printf("\nstreamed response to request %s: %s, %d chunks: %s\n",
		response.RequestID, response.Outcome, len(response.ChunkOffsets), response.Text)
	return nil
}

func orderTwice(ctx context.Context, f *fleet.Fleet) error {
	fmt.Println("\nthe same order through two nodes:")
	for _, node := range f.Nodes[:2] {
		time.Sleep(100 * time.Millisecond)
		response, err := fleet.PostOrder(ctx, node, fleet.MillToken, "cut-4711", `{"panels":12}`)
		if err != nil {
			return err
		}
		fmt.Printf("  %s: %d %s %s\n", node.Name, response.Status, response.Outcome, response.Body)
	}
	return nil
}

// killUnderLoad kills a node while it handles orders and prints how often each sequence of outcomes occurred.
func killUnderLoad(ctx context.Context, f *fleet.Fleet) error {
	const orders = 60
	fmt.Printf(
		"\n%d orders through entry-3, which is killed after half of them; each is then sent to entry-1, up to twice:\n",
		orders)
	outcomes := map[string]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range orders {
		if i == orders/2 {
			go f.Nodes[2].Kill()
		}
		time.Sleep(5 * time.Millisecond)
		group.Go(func() {
			outcome := orderWithRetries(ctx, f, fmt.Sprintf("load-%d", i))
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	group.Wait()
	for outcome, count := range outcomes {
		fmt.Printf("  %3d × %s\n", count, outcome)
	}
	return nil
}

// orderWithRetries sends an order to the node that is killed, then up to twice to another one until it is completed,
// and returns the outcomes.
func orderWithRetries(ctx context.Context, f *fleet.Fleet, key string) string {
	first, err := fleet.PostOrder(ctx, f.Nodes[2], fleet.MillToken, key, key)
	outcome := first.Outcome
	if err != nil {
		outcome = "no response"
	}
	const retryAfter = 1200 * time.Millisecond
	for range 2 {
		next, err := fleet.PostOrder(ctx, f.Nodes[0], fleet.MillToken, key, key)
		if err != nil {
			return outcome + ", then no response"
		}
		outcome += ", then " + next.Outcome
		if next.Outcome == "completed" {
			break
		}
		time.Sleep(retryAfter)
	}
	return outcome
}

func printExecutions(ctx context.Context, f *fleet.Fleet) error {
	executions, err := f.Executions(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\norder services executed %d different orders, %d of them more than once\n",
		len(executions), fleet.CountRepeated(executions))
	return nil
}
