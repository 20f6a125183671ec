package memory

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"lagoongw/platform"
)

// endlessBytes bounds the answers of the stand-ins that have no end.
const endlessBytes = 8 << 20

// upstreams is a stand-in of all upstreams. The path of a request tells how they answer it.
type upstreams struct {
	// release is closed to answer the requests that are held.
	release chan struct{}

	mu sync.Mutex
	// received holds the IDs of the requests that reached an upstream.
	received map[string]bool
}

// startUpstreams starts upstreams at addresses of their own and adds them to a store.
func startUpstreams(t *testing.T, s *store) *upstreams {
	u := &upstreams{
		release:  make(chan struct{}),
		received: map[string]bool{},
	}
	server := &http.Server{Handler: u}
	t.Cleanup(func() { _ = server.Close() })
	for i := range upstreamCount {
		listener := listen(t, fmt.Sprintf("127.0.0.%d", i+1))
		go func() { _ = server.Serve(listener) }()
		s.add(platform.TopicUpstreams, fmt.Sprintf("i-%d", i), fmt.Sprintf(
			`{"service":"s","address":"%s","zone":"a","slots":24,"state":"ready","born":1}`, listener.Addr()))
	}
	return u
}

func (u *upstreams) reached(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received[id]
}

// ServeHTTP answers /x/ok at once and /x/held when release is closed. The answers to /x/head, /x/body and /e/event don't
// end in their header, body and first event.
func (u *upstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Lagoongw-Attempt-Id")
	u.mu.Lock()
	u.received[id] = true
	u.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Lagoongw-Attempt-Id", id)
	w.Header().Set("X-Lagoongw-Response-Stamp", "s")
	fill := []byte(strings.Repeat("a", 4<<10))
	switch r.URL.Path {
	case "/x/held":
		select {
		case <-u.release:
		case <-r.Context().Done():
		}
	case "/x/head":
		u.sendEndlessHead(w, id)
		return
	case "/x/body":
		writeEndless(w, fill)
		return
	case "/e/event":
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: ")
		writeEndless(w, fill)
		return
	}
	_, _ = io.WriteString(w, "ok")
}

func (u *upstreams) sendEndlessHead(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Lagoongw-Attempt-Id: %s\r\n", id)
	writeEndless(conn, []byte("X-Fill: "+string(bytes.Repeat([]byte("a"), 4<<10))+"\r\n"))
}

// writeEndless writes endlessBytes, or less if the other side closes the connection.
func writeEndless(w io.Writer, part []byte) {
	for range endlessBytes / len(part) {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}
