package upgrade

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lagoongw/test/site"
)

// eventsOfStream is the number of events of a stream, and eventPause the time between two of them.
const (
	eventsOfStream = 30
	eventPause     = 40 * time.Millisecond
)

// upstreams are the upstreams of the site. They count how often each request has run.
type upstreams struct {
	store *site.Store

	mu   sync.Mutex
	runs map[string]int
}

// start starts an upstream and registers it. Streams name its version in each event.
func (u *upstreams) start(t *testing.T, name, pool, version string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Lagoongw-Attempt-Id")
		w.Header().Set("X-Lagoongw-Attempt-Id", id)
		if r.Header.Get("X-Lagoongw-Expect-Instance") != name {
			w.Header().Set("X-Lagoongw-Instance-Id", name)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		w.Header().Set("X-Lagoongw-Response-Stamp", "s")
		if pool == poolOrders {
			time.Sleep(eventPause)
			_, _ = fmt.Fprint(w, "done ", id)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for event := after + 1; event <= eventsOfStream; event++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, version); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventPause)
		}
	}))
	t.Cleanup(server.Close)
	entry := fmt.Sprintf(`{"service":"%s","address":"%s","zone":"a","slots":64,"state":"ready","version":"%s","born":1}`,
		pool, strings.TrimPrefix(server.URL, "http://"), version)
	u.store.Put("keyed.servers", name, entry)
}

func (u *upstreams) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}
