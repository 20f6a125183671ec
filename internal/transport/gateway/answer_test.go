package gateway_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// lineBuffer holds the log lines of a gateway.
type lineBuffer struct {
	mu    sync.Mutex
	lines []map[string]any
}

// Write decodes a line.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var fields map[string]any
	if err := json.NewDecoder(bytes.NewReader(line)).Decode(&fields); err != nil {
		return 0, err
	}
	b.lines = append(b.lines, fields)
	return len(line), nil
}

// last returns the last line with a decision.
func (b *lineBuffer) last(decision string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var last map[string]any
	for _, line := range b.lines {
		if line["decision"] == decision {
			last = line
		}
	}
	return last
}

// TestLogTellsASilentUpstreamFromABrokenConnection guards against incidents in which the log can't tell whether an upstream was
// given up or broke off, nor after which time limit a request was answered.
func TestLogTellsASilentUpstreamFromABrokenConnection(t *testing.T) {
	for name, c := range map[string]struct {
		upstream script
		givenUp  bool
	}{
		"silent":     {upstream: hang, givenUp: true},
		"broken off": {upstream: reset},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": c.upstream,
					"u2": answer(http.StatusOK, "good"),
				})
				var log lineBuffer
				g.gateway.Logger = zerolog.New(&log)
				is.Equal(g.call(t.Context(), "/safe/x", "{}", nil).status, http.StatusOK)
				is.Equal(log.last("send-again")["given-up"], c.givenUp)
				is.Equal(log.last("send-again")["limit-ms"], 1500.0)
				is.Equal(log.last("answer")["limit-ms"], 1500.0)
			})
		})
	}
}
