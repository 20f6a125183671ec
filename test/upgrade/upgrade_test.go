package upgrade

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/platform"
	"lagoongw/test/site"
)

const (
	nodeCount  = 3
	poolModels = "models"
	poolOrders = "orders"
	manifest   = `{"version": 1, "routes": [
		{"name": "order", "host": "h", "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 3000, "service": "orders", "max_attempts": 1, "public": true},
		{"name": "quote", "host": "h", "path_prefix": "/quote/", "kind": "stream", "timeout_ms": 15000, "target_gap_ms": 500,
		 "target_latency_ms": 1500, "service": "models", "max_attempts": 2, "public": true, "resumable": true}],
		"services": [{"name": "orders"}, {"name": "models"}]}`
)

// gracePeriod is the time from SIGTERM to SIGKILL.
const gracePeriod = 8 * time.Second

// formerVariable names the program of a former build; without it all processes are of this one.
const formerVariable = "LAGOONGW_FORMER"

// seenTimeout is how long the test goes on until streams have come from all versions.
const seenTimeout = 30 * time.Second

// fixture is three entry VMs, their upstreams and their callers.
type fixture struct {
	upstreams *upstreams
	nodes     []*site.Node
	client    *http.Client

	mu                      sync.Mutex
	nextID                  int
	orders, served          int
	streams, whole, takenUp int
	// seen counts the events of streams by the version of their upstream.
	seen   map[string]int
	faults []string
}

func (s *fixture) id(kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return fmt.Sprint(kind, "-", s.nextID)
}

func (s *fixture) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// send sends a request to a node on a connection that is kept.
func (s *fixture) send(t *testing.T, n *site.Node, path, id string, headers map[string]string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.Callers+path, strings.NewReader("{}"))
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // it is sent once
	r.Host = "h"
	r.Header.Set("X-Lagoongw-Attempt-Id", id)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	return s.client.Do(r)
}

// order sends an order, which must run once at most, and not at all if it is refused.
func (s *fixture) order(t *testing.T, n *site.Node) {
	id := s.id("order")
	response, err := s.send(t, n, "/order/x", id, nil)
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	time.Sleep(2 * eventPause) // one that runs on is counted
	runs := s.upstreams.runsOf(id)
	switch {
	case runs > 1:
		s.fault("%s ran %d times", id, runs)
	case runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		s.fault("%s was refused with %d and ran", id, status)
	case runs > 0 && err != nil:
		s.fault("%s ran, and its connection ended without an answer: %v", id, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	if status == http.StatusOK {
		s.served++
	}
}

// stream reads a stream, takes it up at other nodes when it ends early, and checks that all events come once, in order, and from
// one version.
func (s *fixture) stream(t *testing.T, random *rand.Rand) {
	last, version, first := 0, "", ""
	for try := range 4 {
		id := s.id("stream")
		headers := map[string]string{}
		if last > 0 {
			headers["Last-Event-Id"], headers["Resumes"] = fmt.Sprint(last), first
		} else {
			first = id
		}
		response, err := s.send(t, s.nodes[random.IntN(nodeCount)], "/quote/x", id, headers)
		if err == nil && response.StatusCode == http.StatusOK {
			s.readEvents(id, response.Body, &last, &version)
		}
		if err == nil {
			_ = response.Body.Close()
		}
		if last == eventsOfStream {
			break
		}
		if try == 0 {
			s.mu.Lock()
			s.takenUp++
			s.mu.Unlock()
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams++
	if last == eventsOfStream {
		s.whole++
	}
}

func (s *fixture) readEvents(id string, body io.Reader, last *int, version *string) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		var event int
		if n, _ := fmt.Sscanf(lines.Text(), "id: %d", &event); n == 1 {
			if event != *last+1 {
				s.fault("%s: event %d after %d", id, event, *last)
			}
			*last = event
		}
		if made, found := strings.CutPrefix(lines.Text(), "data: "); found {
			if *version != "" && made != *version {
				s.fault("%s: event %d of %s after one of %s", id, *last, made, *version)
			}
			*version = made
			s.mu.Lock()
			s.seen[made]++
			s.mu.Unlock()
		}
	}
}

// TestProcessesAreReplacedOneByOne guards against requests that are lost, run twice or run after a refusal, and streams that are
// joined from two versions, while the entry VMs of a site are replaced one after the other by another build and back, so that
// both read each other's messages and records. Upstreams of new versions join while both run.
func TestProcessesAreReplacedOneByOne(t *testing.T) {
	is := is.New(t)
	current := site.Build(t)
	former := current
	if path := os.Getenv(formerVariable); path != "" {
		former = path
	}
	s := &fixture{
		upstreams: &upstreams{
			store: &site.Store{},
			runs:  map[string]int{},
		},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
		seen:   map[string]int{},
	}
	s.upstreams.store.Put(platform.TopicOperator, platform.ManifestKey, manifest)
	server := httptest.NewServer(s.upstreams.store)
	t.Cleanup(server.Close)
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		s.upstreams.start(t, fmt.Sprint("model-", i), poolModels, version)
	}
	for i := range 2 {
		s.upstreams.start(t, fmt.Sprint("desk-", i), poolOrders, "v1")
	}
	s.nodes = site.NewNodes(t, site.Settings{
		Nodes: nodeCount,
		Store: strings.TrimPrefix(server.URL, "http://"),
		Grace: gracePeriod,
	})
	for _, n := range s.nodes {
		n.Start(former, "error", nil)
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range 6 {
		orders, streams := rand.New(rand.NewPCG(uint64(i), 0)), rand.New(rand.NewPCG(uint64(i), 1))
		group.Go(func() { untilDone(done, func() { s.order(t, s.nodes[orders.IntN(nodeCount)]) }) })
		group.Go(func() { untilDone(done, func() { s.stream(t, streams) }) })
	}
	var joined []string
	for _, program := range []string{current, former, current} {
		for i, n := range s.nodes {
			time.Sleep(time.Second)
			if !n.Stop() {
				t.Errorf("process of %s ran longer than its grace period", n.Callers)
			}
			n.Start(program, "error", nil)
			if i == 0 {
				joined = append(joined, fmt.Sprint("v", 3+len(joined)))
				version := joined[len(joined)-1]
				s.upstreams.start(t, "model-"+version, poolModels, version)
			}
		}
	}
	time.Sleep(time.Second)
	for waited := time.Duration(0); !s.sawAll(joined) && waited < seenTimeout; waited += eventPause {
		time.Sleep(eventPause)
	}
	close(done)
	group.Wait()
	t.Logf("%d of %d orders served, %d of %d streams whole, %d of them taken up", s.served, s.orders, s.whole, s.streams, s.takenUp)
	for _, fault := range s.faults {
		t.Error(fault)
	}
	is.True(s.sawAll(joined))
	is.True(s.served*10 >= s.orders*9)
	is.True(s.whole*10 >= s.streams*9)
}

// sawAll reports whether streams came from all of the versions.
func (s *fixture) sawAll(versions []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(versions, func(version string) bool { return s.seen[version] == 0 })
}

func untilDone(done <-chan struct{}, run func()) {
	for {
		select {
		case <-done:
			return
		default:
			run()
		}
	}
}
