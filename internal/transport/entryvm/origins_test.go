package entryvm_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

const streamManifest = `{"version": 4, "routes": [{"name": "r", "host": "h", "path_prefix": "/x/", "kind": "stream", "resumable": true,
	"max_attempts": 2, "timeout_ms": 8000, "service": "s", "public": true}], "services": [{"name": "s"}]}`

// TestStreamIsTakenUpAtAnotherProcess guards against processes that don't tell each other where streams began.
func TestStreamIsTakenUpAtAnotherProcess(t *testing.T) {
	is := is.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Lagoongw-Attempt-Id", r.Header.Get("X-Lagoongw-Attempt-Id"))
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}))
	defer upstream.Close()
	store := startStoreOf(t, streamManifest, strings.TrimPrefix(upstream.URL, "http://"))
	addresses := [][]string{freeAddresses(t), freeAddresses(t)}
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i, name := range []string{"vm-1", "vm-2"} {
		p := newProcess(name, store, addresses[i], []string{addresses[0][3], addresses[1][3]})
		p.Prepare()
		group.Go(func() { _ = p.Run(ctx) })
	}
	for i, own := range addresses {
		eventually(t, "both list both", func() bool {
			_, body, _ := get(t, "http://"+own[2]+"/resolve?name=h&zone=a&region=north", nil)
			return strings.Contains(body, addresses[i][0]) && strings.Contains(body, addresses[1-i][0])
		})
	}
	takeUp := func(node int, resumes string) int {
		status, _, _ := get(t, "http://"+addresses[node][0]+"/x/1", map[string]string{
			"X-Lagoongw-Attempt-Id": "again",
			"Resumes":               resumes,
			"Last-Event-Id":         "1",
		})
		return status
	}
	status, _, _ := get(t, "http://"+addresses[0][0]+"/x/1", map[string]string{"X-Lagoongw-Attempt-Id": "first"})
	is.Equal(status, http.StatusOK)
	is.Equal(takeUp(0, "first"), http.StatusOK)
	is.Equal(takeUp(1, "first"), http.StatusOK)
	is.Equal(takeUp(1, "another"), http.StatusServiceUnavailable)
	_, metrics, _ := get(t, "http://"+addresses[1][4]+"/metrics", nil)
	is.True(strings.Contains(metrics, `lagoongw_taken_up_streams_total{known="true",served="true"} 1`))
	is.True(strings.Contains(metrics, `lagoongw_taken_up_streams_total{known="false",served="false"} 1`))
}
