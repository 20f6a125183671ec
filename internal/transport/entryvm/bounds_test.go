package entryvm_test

import (
	"bufio"
	"context"
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

// tightLimit is a memory limit in bytes that a few hundred connections or large bodies would exceed.
const tightLimit = 4 << 20

// startTight starts a process with a tight memory limit, and returns the address for callers.
func startTight(t *testing.T, upstream string) string { return startTightProcess(t, upstream).Callers }

// startTightProcess starts a process with a tight memory limit, and returns its addresses.
func startTightProcess(t *testing.T, upstream string) entryvm.Addresses {
	addresses := freeAddresses(t)
	p := newProcess("vm-1", startStore(t, upstream), addresses, nil)
	p.MemoryLimit = tightLimit
	p.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		if err := p.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	eventually(t, "ready", func() bool {
		status, _, _ := get(t, "http://"+addresses[1]+"/readyz", nil)
		return status == http.StatusOK
	})
	return p.Listen
}

// exchangeOn sends one request and returns its answer, nil if the connection was closed without one.
func exchangeOn(conn net.Conn, path, body string) *http.Response {
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\nContent-Length: %d\r\n\r\n%s",
		path, len(body), body)
	go func() { _, _ = io.WriteString(conn, request) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	return response
}

// TestBodiesBeyondTheBudgetAreRefused guards against bodies of requests that together exceed the memory: those beyond
// the budget are refused before they run, and the others are answered.
func TestBodiesBeyondTheBudgetAreRefused(t *testing.T) {
	is := is.New(t)
	const requests = 20
	gate, received := make(chan struct{}), make(chan struct{}, requests)
	address := startTight(t, startUpstream(t, gate, received))
	body := strings.Repeat("b", tightLimit/requests)
	answers := make(chan *http.Response, requests)
	refused, served := 0, 0
	var group sync.WaitGroup
	for range requests {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		group.Go(func() { answers <- exchangeOn(conn, "/x/1", body) })
	}
	for len(received)+len(answers) < requests {
		time.Sleep(time.Millisecond)
	}
	refused = len(answers)
	close(gate)
	group.Wait()
	close(answers)
	for answer := range answers {
		is.True(answer != nil) // refused with an answer
		if answer.StatusCode == http.StatusServiceUnavailable {
			is.True(answer.Header.Get("Retry-After") != "")
			continue
		}
		is.Equal(answer.StatusCode, http.StatusOK)
		served++
	}
	is.Equal(refused+served, requests) // what was refused was refused at once
	is.True(served > 0)
	is.True(served*len(body) <= tightLimit/4)
}

// TestConnectionsBeyondTheBoundAreRefused guards against callers' connections that together exceed the memory.
func TestConnectionsBeyondTheBoundAreRefused(t *testing.T) {
	is := is.New(t)
	const connections = 300
	address := startTight(t, "127.0.0.1:1")
	kept, answered := 0, 0
	for range connections {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		answer := exchangeOn(conn, "/none", "")
		if answer == nil {
			continue
		}
		answered++
		if !answer.Close {
			kept++
		}
	}
	is.Equal(answered, connections) // none is closed unanswered while some are idle
	is.True(kept > 0)
	is.True(kept*16<<10 <= tightLimit/4)
}

// TestIdleConnectionsOfOperatorsKeepNobodyOut guards against idle connections that block the readiness check, or the
// metrics, for a minute.
func TestIdleConnectionsOfOperatorsKeepNobodyOut(t *testing.T) {
	is := is.New(t)
	addresses := startTightProcess(t, "127.0.0.1:1")
	for address, path := range map[string]string{addresses.Ready: "/readyz", addresses.Metrics: "/metrics"} {
		for range 40 {
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.True(exchangeOn(conn, path, "") != nil)
		}
	}
}

// TestRefusedConnectionGetsItsAnswerOverTCP guards against an answer that is lost by a reset, since the request was not read.
func TestRefusedConnectionGetsItsAnswerOverTCP(t *testing.T) {
	is := is.New(t)
	addresses := startTightProcess(t, "127.0.0.1:1")
	for i := range 24 {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", addresses.Metrics)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		if i < 16 {
			continue // sends nothing
		}
		response := exchangeOn(conn, "/metrics", strings.Repeat("x", 20_000))
		is.True(response != nil)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(response.Header.Get("Retry-After"), "0.500")
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
	}
}

// TestBodiesForOperatorsAreNotWaitedFor guards against a request with a body that isn't sent, which would hold a
// connection to the directory, the readiness check or the metrics for ever.
func TestBodiesForOperatorsAreNotWaitedFor(t *testing.T) {
	is := is.New(t)
	addresses := startTightProcess(t, "127.0.0.1:1")
	for _, address := range []string{addresses.Ready, addresses.Directory, addresses.Metrics} {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, err = io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nbody")
		is.NoErr(err)
		text, err := io.ReadAll(conn)
		is.NoErr(err) // the server has closed the connection
		is.True(strings.HasPrefix(string(text), "HTTP/1.1 "))
	}
}

// TestBrokenAnswerIsResetForOldCallers guards against an answer that breaks off and looks complete to a caller of
// HTTP/1.0, which knows no chunks: for it the connection must be reset.
func TestBrokenAnswerIsResetForOldCallers(t *testing.T) {
	is := is.New(t)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Lagoongw-Attempt-Id", r.Header.Get("X-Lagoongw-Attempt-Id"))
		for range 100 {
			_, _ = w.Write(make([]byte, 8<<10)) // more than is held until it is complete
		}
		panic(http.ErrAbortHandler)
	}))
	defer upstream.Close()
	address := startTight(t, strings.TrimPrefix(upstream.URL, "http://"))
	for _, version := range []string{"1.0", "1.1"} {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, err = io.WriteString(conn, "GET /x/1 HTTP/"+version+"\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, response.Body)
		is.True(err != nil)
	}
}
