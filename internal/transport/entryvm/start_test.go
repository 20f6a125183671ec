package entryvm_test

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/platform"
)

// startStoreWithout starts a store that answers for all topics but one.
func startStoreWithout(t *testing.T, topic string) string {
	store := httputil.NewSingleHostReverseProxy(&url.URL{
		Scheme: "http",
		Host:   startStore(t, startUpstream(t, nil, make(chan struct{}, 10))),
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("topic") != topic {
			store.ServeHTTP(w, r)
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(waitTimeout):
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestNodeThatIsNotReadyDeniesNothingForGood guards against a 404 from a node that had just started and didn't know yet whether its
// routes were current. Callers don't try again after it.
func TestNodeThatIsNotReadyDeniesNothingForGood(t *testing.T) {
	is := is.New(t)
	addresses := freeAddresses(t)
	start(t, newProcess("vm-1", startStoreWithout(t, platform.TopicUpstreams), addresses, nil))
	id := map[string]string{"X-Lagoongw-Attempt-Id": "id-1"}
	status, body := 0, ""
	eventually(t, "the routes are known", func() bool {
		var header http.Header
		status, body, header = get(t, "http://"+addresses[0]+"/none/1", id)
		return status == http.StatusNotFound || status != 0 && header.Get("Retry-After") != "" && !strings.Contains(body, "no routes")
	})
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "outdated"))
}
