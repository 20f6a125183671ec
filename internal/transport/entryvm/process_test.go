package entryvm_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/entryvm"
	"lagoongw/platform"
)

const (
	manifest = `{"version": 4, "routes": [{"name": "r", "host": "h", "path_prefix": "/x/", "kind": "unsafe", "timeout_ms": 3000, "service": "s", "public": true}],
		"limits": {"idle_timeout_ms": 300},
		"services": [{"name": "s"}], "tenants": [{"name": "t", "api_keys": ["k"]}]}`
	// waitTimeout bounds waits for events that take milliseconds.
	waitTimeout = 20 * time.Second
)

// startStore starts a fake of the platform's store with fixed records and returns its address. The store confirms
// appends but drops their records.
func startStore(t *testing.T, upstream string) string {
	return startStoreOf(t, manifest, upstream)
}

// startStoreOf is startStore with a manifest, and with further entries of upstreams.
func startStoreOf(t *testing.T, manifest, upstream string, others ...string) string {
	entry := fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":4,"state":"ready","version":"v1","born":1}`, upstream)
	records := map[string][][2]string{
		platform.TopicOperator:  {{platform.ManifestKey, manifest}},
		platform.TopicUpstreams: {{"i-1", entry}},
	}
	for i, other := range others {
		records[platform.TopicUpstreams] = append(records[platform.TopicUpstreams], [2]string{fmt.Sprint("other-", i), other})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/log-newest":
			var items []map[string]any
			for offset, record := range records[r.URL.Query().Get("topic")] {
				items = append(items, map[string]any{
					"key":    record[0],
					"value":  base64.StdEncoding.EncodeToString([]byte(record[1])),
					"offset": offset,
				})
			}
			_ = json.NewEncoder(w).Encode(map[string]any{
				"items":      items,
				"end_offset": len(items),
			})
		case "/log-read":
			select {
			case <-r.Context().Done():
			case <-time.After(100 * time.Millisecond):
			}
			_, _ = w.Write(make([]byte, 16))
		default:
			_, _ = w.Write([]byte(`{"offset":0,"end_offset":1}`))
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startUpstream starts an upstream that reports each request to received, holds it until gate is closed and answers
// with the instance and the attempt ID that the request names. It returns the upstream's address.
func startUpstream(t *testing.T, gate <-chan struct{}, received chan<- struct{}) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		<-gate
		w.Header().Set("X-Lagoongw-Attempt-Id", r.Header.Get("X-Lagoongw-Attempt-Id"))
		w.Header().Set("X-Lagoongw-Response-Stamp", "s")
		_, _ = io.WriteString(w, r.Header.Get("X-Lagoongw-Expect-Instance"))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// loopbackHosts counts the hosts that freeAddresses has handed out.
var loopbackHosts atomic.Int32

// freeAddresses returns free addresses for the listeners of one process. Their host is in use by no other process or test, so
// that no other socket takes a port before the process listens there.
func freeAddresses(t *testing.T) []string {
	pid, host := os.Getpid(), loopbackHosts.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, pid%256, 1+host%250)
	var addresses []string
	for range 5 {
		socket, err := new(net.ListenConfig).Listen(t.Context(), "tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, socket.Addr().String())
		defer func() { _ = socket.Close() }()
	}
	return addresses
}

// start runs a process until the test ends.
func start(t *testing.T, p *entryvm.Process) {
	t.Cleanup(run(t, p))
}

// run runs a process and returns what stops it.
func run(t *testing.T, p *entryvm.Process) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	p.Prepare()
	go func() { stopped <- p.Run(ctx) }()
	return func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Errorf("process %s: %v", p.Name, err)
		}
	}
}

// startPair starts two processes and returns their addresses once both list both.
func startPair(t *testing.T, store string, logger zerolog.Logger) [][]string {
	addresses := [][]string{freeAddresses(t), freeAddresses(t)}
	for i, name := range []string{"vm-1", "vm-2"} {
		p := newProcess(name, store, addresses[i], []string{addresses[0][3], addresses[1][3]})
		p.Logger = logger
		start(t, p)
	}
	for i, own := range addresses {
		eventually(t, "both list both", func() bool {
			_, body, _ := get(t, "http://"+own[2]+"/resolve?name=h&zone=a&region=north", nil)
			return strings.Contains(body, addresses[i][0]) && strings.Contains(body, addresses[1-i][0])
		})
	}
	return addresses
}

func newProcess(name, storeAddress string, addresses, seeds []string) *entryvm.Process {
	open := func(topic string) *platform.Store { return platform.OpenStore(storeAddress, topic, time.Second) }
	return &entryvm.Process{
		Name:             name,
		AvailabilityZone: "a",
		Region:           "north",
		Listen: entryvm.Addresses{
			Callers:   addresses[0],
			Ready:     addresses[1],
			Directory: addresses[2],
			Peers:     addresses[3],
			Metrics:   addresses[4],
		},
		Tunables: entryvm.Tunables{
			Seeds:       seeds,
			GracePeriod: 2 * time.Second,
			RetryAllowance: retry.Allowance{
				Length: 10 * time.Second,
				Slack:  10,
			},
		},
		Secret: []byte("a secret of sixteen"),
		Codec:  platform.Headers{},
		Catalog: &catalog.Service{
			Routes:              open(platform.TopicOperator),
			RoutesCopy:          open(platform.TopicOperatorCopy),
			Upstreams:           open(platform.TopicUpstreams),
			UpstreamsCopy:       open(platform.TopicUpstreamsCopy),
			RoutesKey:           platform.ManifestKey,
			DecodeRoutes:        platform.ParseManifest,
			DecodeRoutesVersion: platform.ParseManifestVersion,
			DecodeUpstream:      platform.Settings{RegionByZone: map[string]string{"a": "north"}}.ParseEntry,
		},
		VersionRecord: open(platform.TopicVersions),
		StreamLog:     open(platform.TopicOrigins),
		ReadyRoutes:   platform.ReadyRoutes,
		DirectoryRoutes: func(list func(zone, region string) []string) []rest.Route {
			return platform.DirectoryRoutes(list, time.Second)
		},
		DroppedLines: func() int64 { return 0 },
		Logger:       zerolog.Nop(),
	}
}

func get(t *testing.T, url string, headers map[string]string) (status int, body string, header http.Header) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text), response.Header
}

// eventually waits until ok returns true, and fails the test after waitTimeout.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time: " + condition)
		}
	}
}

func TestTwoProcessesServeAndOneLeavesWithoutCuttingARequest(t *testing.T) {
	is := is.New(t)
	gate, received := make(chan struct{}), make(chan struct{}, 10)
	address := startStore(t, startUpstream(t, gate, received))
	addressesA, addressesB := freeAddresses(t), freeAddresses(t)
	seeds := []string{addressesA[3], addressesB[3]}
	a, b := newProcess("vm-1", address, addressesA, seeds), newProcess("vm-2", address, addressesB, seeds)
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, p := range []*entryvm.Process{a, b} {
		p.Prepare()
		group.Go(func() {
			if err := p.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	directory := "http://" + addressesB[2] + "/resolve?name=h&zone=a&region=north"
	eventually(t, "both are ready", func() bool {
		statusA, _, _ := get(t, "http://"+addressesA[1]+"/readyz", nil)
		statusB, _, _ := get(t, "http://"+addressesB[1]+"/readyz", nil)
		return statusA == http.StatusOK && statusB == http.StatusOK
	})
	eventually(t, "both are listed", func() bool {
		_, body, _ := get(t, directory, nil)
		return strings.Contains(body, addressesA[0]) && strings.Contains(body, addressesB[0])
	})
	answered := make(chan string, 1)
	go func() {
		_, body, header := get(t, "http://"+addressesA[0]+"/x/1", map[string]string{"X-Lagoongw-Attempt-Id": "id-1"})
		answered <- body + " " + header.Get("X-Lagoongw-Attempt-Id")
	}()
	<-received
	a.Drain()
	status, _, _ := get(t, "http://"+addressesA[1]+"/readyz", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	eventually(t, "the leaving one is no longer listed", func() bool {
		_, body, _ := get(t, directory, nil)
		return !strings.Contains(body, addressesA[0]) && strings.Contains(body, addressesB[0])
	})
	close(gate)
	is.Equal(<-answered, "i-1 id-1")
	_, metrics, _ := get(t, "http://"+addressesB[4]+"/metrics", nil)
	is.True(strings.Contains(metrics, "lagoongw_routes_version 4"))
	eventually(t, "the drained one has stopped", func() bool {
		status, _, _ := get(t, "http://"+addressesA[1]+"/readyz", nil)
		return status == 0
	})
}

// The operator's limit on the time between two requests was decoded and not enforced: an idle connection stayed open for a
// minute.
func TestIdleCallersAreClosedAtTheOperatorsLimit(t *testing.T) {
	is := is.New(t)
	gate, received := make(chan struct{}), make(chan struct{}, 1)
	close(gate)
	addresses := freeAddresses(t)
	start(t, newProcess("vm-1", startStore(t, startUpstream(t, gate, received)), addresses, nil))
	eventually(t, "it is ready", func() bool {
		status, _, _ := get(t, "http://"+addresses[1]+"/readyz", nil)
		return status == http.StatusOK
	})
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", addresses[0])
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout))) // well below the fixed limit
	_, err = io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\n\r\n")
	is.NoErr(err)
	answers, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answers), "HTTP/1.1 200"))
}
