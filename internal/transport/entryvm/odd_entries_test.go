package entryvm_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestProcessesServeBesideOddEntries guards against processes that end, never get ready or send requests astray because another
// writer has put odd entries among those of the upstreams.
func TestProcessesServeBesideOddEntries(t *testing.T) {
	const entry = `{"service":"s","address":"%s","zone":"a","slots":%s,"state":"ready","version":"v1","born":%s,"x":%s}`
	nested := strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000)
	for name, odd := range map[string]string{
		"bytes of a compressed file": "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff\x4b\x2e\xca",
		"nested deeply":              fmt.Sprintf(entry, "127.0.0.1:9", "4", "1", nested),
		"nested start":               fmt.Sprintf(entry, "127.0.0.1:9", "4", nested, "1"),
		"slots too large":            fmt.Sprintf(entry, "127.0.0.1:9", "9223372036854775807", "1", "1"),
		"start too large":            fmt.Sprintf(entry, "127.0.0.1:9", "4", "1e400", "1"),
		"port too large":             fmt.Sprintf(entry, "127.0.0.1:70000", "4", "1", "1"),
		"port below zero":            fmt.Sprintf(entry, "127.0.0.1:-1", "4", "1", "1"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, received := make(chan struct{}), make(chan struct{}, 20)
			close(gate)
			store := startStoreOf(t, manifest, startUpstream(t, gate, received), odd)
			addresses := startPair(t, store, zerolog.Nop())
			for _, own := range addresses {
				eventually(t, "it is ready", func() bool {
					status, _, _ := get(t, "http://"+own[1]+"/readyz", nil)
					return status == http.StatusOK
				})
				for i := range 5 {
					status, body, _ := get(t, "http://"+own[0]+"/x/1", map[string]string{"X-Lagoongw-Attempt-Id": fmt.Sprint("id-", i)})
					is.Equal(status, http.StatusOK)
					is.Equal(body, "i-1")
				}
				_, metrics, _ := get(t, "http://"+own[4]+"/metrics", nil)
				is.True(strings.Contains(metrics, "lagoongw_routes_version 4"))
			}
		})
	}
}
