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
	"strings"
	"sync"
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
		"services": [{"name": "s"}], "tenants": [{"name": "t", "api_keys": ["k"]}]}`
	// soon bounds waits for what takes milliseconds; no figure is checked against it.
	soon = 20 * time.Second
)

// store is a stand-in for the platform's store that never changes.
func store(t *testing.T, upstream string) string {
	entry := fmt.Sprintf(`{"service":"s","address":"%s","zone":"a","slots":4,"state":"ready","born":1}`, upstream)
	records := map[string][2]string{
		platform.TopicOperator:  {platform.ManifestKey, manifest},
		platform.TopicUpstreams: {"i-1", entry},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/log-newest":
			record, known := records[r.URL.Query().Get("topic")]
			var items []map[string]any
			if known {
				items = append(items, map[string]any{
					"key":    record[0],
					"value":  base64.StdEncoding.EncodeToString([]byte(record[1])),
					"offset": 0,
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

// upstream is a stand-in that answers every request with its ID, after gate is closed.
func upstream(t *testing.T, gate <-chan struct{}, began chan<- struct{}) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-gate
		w.Header().Set("X-Lagoongw-Attempt-Id", r.Header.Get("X-Lagoongw-Attempt-Id"))
		w.Header().Set("X-Lagoongw-Response-Stamp", "s")
		_, _ = io.WriteString(w, r.Header.Get("X-Lagoongw-Expect-Instance"))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// freeAddresses reserves addresses on loopback for one process.
func freeAddresses(t *testing.T) []string {
	var list []string
	for range 5 {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, listener.Addr().String())
		defer func() { _ = listener.Close() }()
	}
	return list
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
			Routes:         open(platform.TopicOperator),
			RoutesCopy:     open(platform.TopicOperatorCopy),
			Upstreams:      open(platform.TopicUpstreams),
			UpstreamsCopy:  open(platform.TopicUpstreamsCopy),
			RoutesKey:      platform.ManifestKey,
			DecodeRoutes:   platform.ParseManifest,
			DecodeUpstream: platform.Settings{RegionByZone: map[string]string{"a": "north"}}.ParseEntry,
		},
		ReadyRoutes: platform.ReadyRoutes,
		DirectoryRoutes: func(list func(zone, region string) []string) []rest.Route {
			return platform.DirectoryRoutes(list, time.Second)
		},
		DroppedLines: func() int64 { return 0 },
		Logger:       zerolog.Nop(),
	}
}

func get(t *testing.T, url string, head map[string]string) (status int, body string, header http.Header) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	for name, value := range head {
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

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(soon); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("never: " + what)
		}
	}
}

func TestTwoProcessesServeAndOneLeavesWithoutCuttingARequest(t *testing.T) {
	is := is.New(t)
	gate, began := make(chan struct{}), make(chan struct{}, 10)
	address := store(t, upstream(t, gate, began))
	first, second := freeAddresses(t), freeAddresses(t)
	seeds := []string{first[3], second[3]}
	a, b := newProcess("vm-1", address, first, seeds), newProcess("vm-2", address, second, seeds)
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
	directory := "http://" + second[2] + "/resolve?name=h&zone=a&region=north"
	eventually(t, "both are ready", func() bool {
		one, _, _ := get(t, "http://"+first[1]+"/readyz", nil)
		two, _, _ := get(t, "http://"+second[1]+"/readyz", nil)
		return one == http.StatusOK && two == http.StatusOK
	})
	eventually(t, "both are listed", func() bool {
		_, body, _ := get(t, directory, nil)
		return strings.Contains(body, first[0]) && strings.Contains(body, second[0])
	})
	answered := make(chan string, 1)
	go func() {
		_, body, header := get(t, "http://"+first[0]+"/x/1", map[string]string{"X-Lagoongw-Attempt-Id": "id-1"})
		answered <- body + " " + header.Get("X-Lagoongw-Attempt-Id")
	}()
	<-began
	a.Drain()
	status, _, _ := get(t, "http://"+first[1]+"/readyz", nil)
	is.Equal(status, http.StatusServiceUnavailable)
	eventually(t, "the leaving one is listed no more", func() bool {
		_, body, _ := get(t, directory, nil)
		return !strings.Contains(body, first[0]) && strings.Contains(body, second[0])
	})
	close(gate)
	is.Equal(<-answered, "i-1 id-1")
	_, metrics, _ := get(t, "http://"+second[4]+"/metrics", nil)
	is.True(strings.Contains(metrics, "lagoongw_routes_version 4"))
	eventually(t, "the drained one ends", func() bool {
		status, _, _ := get(t, "http://"+first[1]+"/readyz", nil)
		return status == 0
	})
}
