package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"lagoongw/test/fleet"
)

type settings struct {
	Rate    int           `long:"rate" default:"1000" description:"requests a second"`
	Length  time.Duration `long:"length" default:"8s" description:"time measured for each target"`
	Streams int           `long:"streams" default:"1000" description:"streams held open at once"`
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		os.Exit(2)
	}
	fleet.RunProgram("latency", func(ctx context.Context) error { return run(ctx, s) })
}

func run(ctx context.Context, s settings) error {
	dir, err := fleet.TempDir()
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(ctx, dir, fleet.Settings{
		Nodes:      1,
		Engines:    1,
		EngineArgs: []string{"--slots", "4096", "--token-time", "1us", "--prefill-time", "0s"},
	})
	defer f.Stop()
	if err != nil {
		return err
	}
	verdict, err := f.Publish(ctx, f.Nodes[0], "latency", fleet.Rules())
	if err != nil {
		return err
	}
	if err := f.WaitRevision(ctx, verdict.Revision, f.Nodes...); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	direct := measure(ctx, client, f.Engines[0], s)
	before := cpu(f.Nodes[0])
	through := measure(ctx, client, f.Nodes[0], s)
	used := cpu(f.Nodes[0]) - before
	report("direct", direct)
	report("node", through)
	fmt.Printf("added: p50 %s, p99 %s; p50 ratio %.2f\n",
		quantile(through, 0.5)-quantile(direct, 0.5), quantile(through, 0.99)-quantile(direct, 0.99),
		float64(quantile(through, 0.5))/float64(quantile(direct, 0.5)))
	fmt.Printf("node: %.0f requests a second of processor time\n", float64(len(through))/used.Seconds())
	return streams(ctx, f, client, s)
}

// measure sends requests at a fixed rate, whether or not earlier ones have been answered.
func measure(ctx context.Context, client *http.Client, target *fleet.Process, s settings) []time.Duration {
	var mu sync.Mutex
	var took []time.Duration
	var group sync.WaitGroup
	pause := time.Second / time.Duration(s.Rate)
	begin := time.Now()
	for i := range s.Rate * int(s.Length/time.Second) {
		if ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(begin.Add(time.Duration(i) * pause)))
		group.Go(func() {
			sent := time.Now()
			if !ask(ctx, client, target, 1, false, nil) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(sent))
		})
	}
	group.Wait()
	slices.Sort(took)
	return took
}

func ask(ctx context.Context, client *http.Client, target *fleet.Process, tokens int, stream bool, hold <-chan struct{}) bool {
	body := fmt.Sprintf(`{"model":"planner","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"which coil?"}]}`, stream, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+fleet.MillToken)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if hold != nil {
		<-hold
		return true
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func report(name string, took []time.Duration) {
	fmt.Printf("%s: %d answered, p50 %s, p99 %s\n", name, len(took), quantile(took, 0.5), quantile(took, 0.99))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// streams opens many streams that stay open, and compares the node's memory.
func streams(ctx context.Context, f *fleet.Fleet, client *http.Client, s settings) error {
	before := memory(f.Nodes[0])
	hold := make(chan struct{})
	var group sync.WaitGroup
	for range s.Streams {
		group.Go(func() { ask(ctx, client, f.Nodes[0], 1_000_000, true, hold) })
	}
	const settle = 3 * time.Second
	time.Sleep(settle)
	after := memory(f.Nodes[0])
	status, err := f.Status(ctx, f.Nodes[0])
	close(hold)
	if err != nil {
		return err
	}
	open := 0
	for _, pool := range status.Pools {
		open += pool.InFlight
	}
	fmt.Printf("memory: %d KiB before, %d KiB with %d streams open: %.1f KiB a stream\n",
		before, after, open, float64(after-before)/float64(max(open, 1)))
	return nil
}

// cpu returns the processor time that a process has used.
func cpu(p *fleet.Process) time.Duration {
	const tick = 10 * time.Millisecond
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	user, _ := strconv.Atoi(fields[13])
	system, _ := strconv.Atoi(fields[14])
	return time.Duration(user+system) * tick
}

// memory returns the resident memory of a process in KiB.
func memory(p *fleet.Process) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			size, _ := strconv.Atoi(strings.Fields(rest)[0])
			return size
		}
	}
	return 0
}
