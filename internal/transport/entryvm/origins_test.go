package entryvm_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
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
	addresses := startPair(t, store, zerolog.Nop())
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
	is.Equal(takeUp(1, "another"), http.StatusOK) // no other version has served
	_, metrics, _ := get(t, "http://"+addresses[1][4]+"/metrics", nil)
	is.True(strings.Contains(metrics, `lagoongw_taken_up_streams_total{known="true",served="true"} 2`))
}
