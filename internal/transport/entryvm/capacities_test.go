package entryvm_test

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/transport/duties"
	"lagoongw/internal/transport/entryvm"
	"lagoongw/platform"
)

// startStoreWithLease is a store whose topic of the duties takes appends at its end, and calls saved with each. Other calls go
// to another store.
func startStoreWithLease(t *testing.T, other string, saved func(record string)) string {
	var end atomic.Int64
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{
		Scheme: "http",
		Host:   other,
	})
	proxy.ErrorLog = log.New(io.Discard, "", 0) // reads end with the process
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Query().Get("topic") != platform.TopicDuties:
			proxy.ServeHTTP(w, r)
		case r.URL.Path == "/log-append":
			body, _ := io.ReadAll(r.Body)
			saved(string(body))
			next := end.Add(1)
			_, _ = fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, next-1, next)
		default:
			_, _ = fmt.Fprintf(w, `{"items":[],"end_offset":%d}`, end.Load())
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestTheHolderOrdersUpstreams guards against a process that has the duty and orders nothing, or without its name and number, or
// that does not save what it orders.
func TestTheHolderOrdersUpstreams(t *testing.T) {
	is := is.New(t)
	type order struct {
		holder, number string
		Service        string `json:"service"`
		Zone           string `json:"zone"`
		Desired        int    `json:"desired"`
		Spot           bool   `json:"spot"`
	}
	orders := make(chan order, 100)
	cloud := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		o := order{
			holder: r.Header.Get("X-Lagoongw-Duty-Holder"),
			number: r.Header.Get("X-Lagoongw-Fencing-Token"),
		}
		if r.URL.Path == "/scale" && json.NewDecoder(r.Body).Decode(&o) == nil {
			orders <- o
		}
	}))
	t.Cleanup(cloud.Close)
	scaled := strings.Replace(manifest, `{"name": "s"}`, `{"name": "s", "scaling": {"min": 1, "max": 9, "boot_s": 4, "spot_price": 0.2,
		"zone_prices": {"a": 1, "b": 1, "c": 1}}}`, 1)
	var saved atomic.Bool
	store := startStoreWithLease(t, startStoreOf(t, scaled, "127.0.0.1:1"), func(record string) {
		if strings.Contains(record, `capacity{"orders":[{"desired":`) {
			saved.Store(true)
		}
	})
	addresses := freeAddresses(t)
	p := newProcess("vm-1", store, addresses, nil)
	p.Duties = &duties.Service{
		Name:  "vm-1",
		Log:   platform.OpenStore(store, platform.TopicDuties, time.Second),
		Lease: 2 * time.Second,
	}
	p.Autoscale = &entryvm.Autoscale{
		Order:       platform.OpenCloud(strings.TrimPrefix(cloud.URL, "http://")).OrderUpstreams,
		Utilization: 0.5,
		Least:       8,
	}
	start(t, p)
	spot, onDemand := map[string]int{}, map[string]int{"a": 1}
	for len(spot) < 3 || len(onDemand) < 3 {
		select {
		case o := <-orders:
			is.Equal(o.holder, "vm-1")
			is.True(o.number != "" && o.number != "0")
			is.Equal(o.Service, "s")
			if o.Spot {
				spot[o.Zone] = o.Desired
			} else {
				onDemand[o.Zone] = o.Desired
			}
		case <-time.After(waitTimeout):
			t.Fatal("too few orders: ", spot, onDemand)
		}
	}
	is.True(spot["a"]+spot["b"]+spot["c"]+3-max(spot["a"], spot["b"], spot["c"]) >= 8) // the least number, without any one zone
	_, metrics, _ := get(t, "http://"+addresses[4]+"/metrics", nil)
	is.True(strings.Contains(metrics, "lagoongw_capacity_wanted 1")) // 11 or more
	for deadline := time.Now().Add(waitTimeout); !saved.Load(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the ordered numbers were not saved")
		}
	}
}
