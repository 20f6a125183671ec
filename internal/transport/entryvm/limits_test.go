package entryvm_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// lockedBuffer is a buffer for the log of a process.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestProcessesShareTheLimitOfAnUpstream guards against a process that doesn't learn a limit from the other one, or can't ask
// it for a send.
func TestProcessesShareTheLimitOfAnUpstream(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("X-Lagoongw-Attempt-Id", r.Header.Get("X-Lagoongw-Attempt-Id"))
		w.Header().Set("Server-Limit", "0.01")
		_, _ = io.WriteString(w, "good")
	}))
	defer upstream.Close()
	store := startStore(t, strings.TrimPrefix(upstream.URL, "http://"))
	var logged lockedBuffer
	addresses := startPair(t, store, zerolog.New(&logged))
	ask := func(node int) (int, string, http.Header) {
		return get(t, "http://"+addresses[node][0]+"/x/1", map[string]string{"X-Lagoongw-Attempt-Id": "id-1"})
	}
	status, _, _ := ask(0)
	is.Equal(status, http.StatusOK)
	eventually(t, "the other node has learned the limit", func() bool {
		_, metrics, _ := get(t, "http://"+addresses[1][4]+"/metrics", nil)
		return strings.Contains(metrics, "lagoongw_limited_upstreams 1")
	})
	for node := range addresses {
		status, body, header := ask(node)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, "limits that they have named"))
		is.True(header.Get("Retry-After") != "")
	}
	is.Equal(arrived.Load(), int64(1))
	is.True(!strings.Contains(logged.String(), "did not answer"))
}
