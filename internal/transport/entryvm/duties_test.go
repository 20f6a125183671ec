package entryvm_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/transport/duties"
	"lagoongw/platform"
)

// dutyStore serves the topic of the duties, with one lease record and conditional appends, and passes other calls on.
type dutyStore struct {
	mu    sync.Mutex
	lease string
	end   int
	calls int
}

func (s *dutyStore) start(t *testing.T, others string) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: others})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("topic") != platform.TopicDuties {
			proxy.ServeHTTP(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		if r.Method == http.MethodGet {
			var items []map[string]any
			if s.end > 0 {
				items = append(items, map[string]any{
					"key":    "lease",
					"value":  base64.StdEncoding.EncodeToString([]byte(s.lease)),
					"offset": s.end - 1,
				})
			}
			_ = json.NewEncoder(w).Encode(map[string]any{
				"items":      items,
				"end_offset": s.end,
			})
			return
		}
		if r.URL.Query().Get("at") != strconv.Itoa(s.end) {
			w.WriteHeader(http.StatusPreconditionFailed)
			_, _ = fmt.Fprintf(w, `{"end_offset":%d}`, s.end)
			return
		}
		s.lease = string(body[len("....\x05lease"):])
		_, _ = fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, s.end, s.end+1)
		s.end++
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (s *dutyStore) released() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(s.lease, `"released":true`)
}

// TestDutiesAreHeldAndReleasedOnDrain guards against a node that leaves with the lease, so that no other one can report
// usage before the lease ends, and against calls to the topic without duties.
func TestDutiesAreHeldAndReleasedOnDrain(t *testing.T) {
	is := is.New(t)
	gate, received := make(chan struct{}), make(chan struct{}, 1)
	close(gate)
	fixed := startStore(t, startUpstream(t, gate, received))
	var active, inactive dutyStore
	addresses, other := freeAddresses(t), freeAddresses(t)
	p := newProcess("vm-1", active.start(t, fixed), addresses, nil)
	p.Duties = &duties.Service{
		Name:  "vm-1",
		Log:   platform.OpenStore(active.start(t, fixed), platform.TopicDuties, time.Second),
		Lease: 2 * time.Second,
	}
	start(t, p)
	start(t, newProcess("vm-2", inactive.start(t, fixed), other, nil))
	metrics := func(address string) string {
		_, text, _ := get(t, "http://"+address+"/metrics", nil)
		return text
	}
	eventually(t, "the lease is held", func() bool {
		return strings.Contains(metrics(addresses[4]), "lagoongw_duty_held 1\n")
	})
	is.True(strings.Contains(metrics(addresses[4]), "lagoongw_duty_number 1\n"))
	is.True(!strings.Contains(metrics(other[4]), "lagoongw_duty"))
	inactive.mu.Lock()
	is.Equal(inactive.calls, 0)
	inactive.mu.Unlock()
	p.Drain()
	eventually(t, "the lease is released", active.released)
}
