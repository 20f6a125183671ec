package entryvm_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/transport/entryvm"
)

// heldRequests is an upstream that answers no request before it is released, and notes which have reached it.
type heldRequests struct {
	release chan struct{}

	mu      sync.Mutex
	reached map[string]bool
}

func startHeldRequests(t *testing.T) (held *heldRequests, address string) {
	held = &heldRequests{
		release: make(chan struct{}),
		reached: map[string]bool{},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Lagoongw-Attempt-Id")
		held.mu.Lock()
		held.reached[id] = true
		held.mu.Unlock()
		w.Header().Set("X-Lagoongw-Attempt-Id", id)
		if id != "first" {
			<-held.release
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(held.release) })
	return held, strings.TrimPrefix(server.URL, "http://")
}

func (h *heldRequests) has(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reached[id]
}

// keptConnection is a caller's connection that a request was answered on.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

func keepConnection(t *testing.T, address string) keptConnection {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	kept := keptConnection{
		Conn:   conn,
		reader: bufio.NewReader(conn),
	}
	if status := kept.ask("first"); status != http.StatusOK {
		t.Fatalf("first request on a connection: status %d", status)
	}
	return kept
}

// ask sends a request and returns the status of its answer, 0 if the connection ends without a whole one.
func (k keptConnection) ask(id string) (status int) {
	_ = k.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(k, "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\n{}", id); err != nil {
		return 0
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// startWithGrace starts a process before an upstream, with a grace period, and waits until it is ready.
func startWithGrace(t *testing.T, upstream string, grace time.Duration) (p *entryvm.Process, addresses []string) {
	t.Helper()
	addresses = freeAddresses(t)
	p = newProcess("vm-1", startStore(t, upstream), addresses, nil)
	p.Tunables = entryvm.Tunables{
		GracePeriod:    grace,
		RetryAllowance: p.Tunables.RetryAllowance,
	}
	start(t, p)
	eventually(t, "it is ready", func() bool {
		status, _, _ := get(t, "http://"+addresses[1]+"/readyz", nil)
		return status == http.StatusOK
	})
	return p, addresses
}

// TestNoRequestThatWasPassedOnIsLostInADrain guards against requests that a stopped process passes on later than callers use
// cached addresses, and against connections on which such a request gets no answer.
func TestNoRequestThatWasPassedOnIsLostInADrain(t *testing.T) {
	const (
		grace = 2 * time.Second
		// accepting is the first part of the grace period, in which requests are accepted that may not end in time.
		accepting = 600 * time.Millisecond
		callers   = 40
		interval  = 50 * time.Millisecond
	)
	is := is.New(t)
	held, upstream := startHeldRequests(t)
	p, addresses := startWithGrace(t, upstream, grace)
	var kept []keptConnection
	for range callers {
		kept = append(kept, keepConnection(t, addresses[0]))
	}
	p.Drain()
	began := time.Now()
	var group sync.WaitGroup
	statuses, sent := make([]int, callers), make([]time.Duration, callers)
	for i := range callers {
		group.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			sent[i] = time.Since(began)
			statuses[i] = kept[i].ask(fmt.Sprint("r", i))
		})
	}
	group.Wait()
	passedOn := 0
	for i, status := range statuses {
		reached := held.has(fmt.Sprint("r", i))
		switch {
		case reached && sent[i] >= accepting:
			t.Errorf("request sent after %v was passed on, and answered %d", sent[i], status)
		case reached:
			passedOn++
			is.Equal(status, http.StatusBadGateway) // it may have run
		case status != 0: // else it crossed the close
			is.Equal(status, http.StatusServiceUnavailable)
		}
	}
	is.True(passedOn > 0)
}
