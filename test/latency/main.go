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
	direct := measureLatency(ctx, client, f.Engines[0], s)
	cpuBefore := cpuTime(f.Nodes[0])
	proxied := measureLatency(ctx, client, f.Nodes[0], s)
	cpuUsed := cpuTime(f.Nodes[0]) - cpuBefore
	printLatency("direct", direct)
	printLatency("node", proxied)
	fmt.Printf("added latency: p50 %s, p99 %s; p50 ratio %.2f\n",
		quantile(proxied, 0.5)-quantile(direct, 0.5), quantile(proxied, 0.99)-quantile(direct, 0.99),
		float64(quantile(proxied, 0.5))/float64(quantile(direct, 0.5)))
	fmt.Printf("node: %.0f requests per second of processor time\n", float64(len(proxied))/cpuUsed.Seconds())
	return measureStreams(ctx, f, client, s)
}

// measureLatency sends requests at a fixed rate, whether or not earlier ones have been answered, and returns the sorted
// latencies of the successful ones.
func measureLatency(ctx context.Context, client *http.Client, target *fleet.Process, s settings) []time.Duration {
	var mu sync.Mutex
	var latencies []time.Duration
	var group sync.WaitGroup
	interval := time.Second / time.Duration(s.Rate)
	start := time.Now()
	for i := range s.Rate * int(s.Length/time.Second) {
		if ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		group.Go(func() {
			sent := time.Now()
			if !sendChat(ctx, client, target, 1, false, nil) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(sent))
		})
	}
	group.Wait()
	slices.Sort(latencies)
	return latencies
}

// sendChat sends a chat request and reports whether it succeeded. Unless release is nil, it holds the response open
// without reading it until release is closed.
func sendChat(
	ctx context.Context, client *http.Client, target *fleet.Process, tokens int, stream bool, release <-chan struct{},
) bool {
	body := fmt.Sprintf(
		`{"model":"planner","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"which coil?"}]}`,
		stream, tokens)
	r, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+target.Address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+fleet.MillToken)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if release != nil {
		<-release
		return true
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func printLatency(name string, latencies []time.Duration) {
	fmt.Printf("%s: %d responses, p50 %s, p99 %s\n",
		name, len(latencies), quantile(latencies, 0.5), quantile(latencies, 0.99))
}

// quantile returns the quantile q, from 0 to 1, of sorted durations, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// measureStreams holds many streams open and prints the node's memory use before and meanwhile.
func measureStreams(ctx context.Context, f *fleet.Fleet, client *http.Client, s settings) error {
	before := residentMemory(f.Nodes[0])
	release := make(chan struct{})
	var group sync.WaitGroup
	for range s.Streams {
		group.Go(func() { sendChat(ctx, client, f.Nodes[0], 1_000_000, true, release) })
	}
	const settleTime = 3 * time.Second
	time.Sleep(settleTime)
	after := residentMemory(f.Nodes[0])
	status, err := f.Status(ctx, f.Nodes[0])
	close(release)
	if err != nil {
		return err
	}
	open := 0
	for _, pool := range status.Pools {
		open += pool.InFlight
	}
	fmt.Printf("memory: %d KiB before, %d KiB with %d streams open: %.1f KiB per stream\n",
		before, after, open, float64(after-before)/float64(max(open, 1)))
	return nil
}

// cpuTime returns the user and system time of a process from /proc/PID/stat, which counts clock ticks of 1/100 s, or 0
// if it can't be read.
func cpuTime(p *fleet.Process) time.Duration {
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

// residentMemory returns the resident set size of a process in KiB, or 0 if /proc/PID/status can't be read.
func residentMemory(p *fleet.Process) int {
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
