package httpapi_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/transport/httpapi"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, open := <-l
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (pipeListener) Close() error   { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// step is a pause of a client followed by bytes that it sends, or by a change of the timeouts.
type step struct {
	pause    time.Duration
	send     string
	timeouts httpapi.Timeouts
}

// TestTimeoutsOfClients guards against fixed timeouts in place of the operator's: clients within longer ones were cut
// off, and those beyond shorter ones kept their connections.
func TestTimeoutsOfClients(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	timeouts := httpapi.Timeouts{
		Header: 20 * time.Second,
		Idle:   3 * time.Minute,
	}
	shorter := httpapi.Timeouts{
		Header: time.Second,
		Idle:   2 * time.Second,
	}
	for name, test := range map[string]struct {
		steps  []step
		served int
	}{
		"first request late":          {steps: []step{{pause: 144 * time.Second, send: request}}, served: 1},
		"idle for 4/5 of the limit":   {steps: []step{{send: request}, {pause: 144 * time.Second, send: request}}, served: 2},
		"idle beyond the limit":       {steps: []step{{send: request}, {pause: 181 * time.Second, send: request}}, served: 1},
		"headers at the limit":        {steps: []step{{send: request[:5]}, {pause: 19 * time.Second, send: request[5:]}}, served: 1},
		"headers beyond the limit":    {steps: []step{{send: request[:5]}, {pause: 21 * time.Second, send: request[5:]}}},
		"headers in drops":            {steps: []step{{send: request[:5]}, {pause: 15 * time.Second, send: "/"}, {pause: 6 * time.Second, send: request[5:]}}},
		"idle, then slow headers":     {steps: []step{{pause: 170 * time.Second, send: request[:5]}, {pause: 19 * time.Second, send: request[5:]}}, served: 1},
		"slow body":                   {steps: []step{{send: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na"}, {pause: 10 * time.Minute, send: "b"}}, served: 1},
		"pipelined requests":          {steps: []step{{send: request + request + request[:5]}, {pause: 19 * time.Second, send: request[5:]}}, served: 3},
		"idle when the limits fall":   {steps: []step{{send: request}, {pause: time.Minute, timeouts: shorter}, {pause: time.Minute, send: request}}, served: 2},
		"limits lowered before":       {steps: []step{{timeouts: shorter}, {send: request}, {pause: 3 * time.Second, send: request}}, served: 1},
		"limits raised while waiting": {steps: []step{{timeouts: shorter}, {send: request}, {pause: time.Second, timeouts: timeouts}, {pause: time.Minute, send: request}}, served: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				is.Equal(serveSteps(timeouts, test.steps), test.served)
			})
		})
	}
}

// serveSteps plays one client's steps on one connection and returns the number of answers that it received.
func serveSteps(timeouts httpapi.Timeouts, steps []step) int {
	var current atomic.Pointer[httpapi.Timeouts]
	current.Store(&timeouts)
	listener := make(pipeListener, 1)
	server := &http.Server{
		Handler:           http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) }),
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
	}
	var opened, closed atomic.Int64
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			opened.Add(1)
		case http.StateClosed:
			closed.Add(1)
		}
	}
	limited := httpapi.LimitClients(server, listener, func() httpapi.Timeouts { return *current.Load() })
	go func() { _ = server.Serve(limited) }()
	client, conn := net.Pipe()
	if steps[0].timeouts != (httpapi.Timeouts{}) {
		current.Store(&steps[0].timeouts)
	}
	listener <- conn
	var served atomic.Int64
	go func() {
		answers := bufio.NewReader(client)
		for {
			answer, err := http.ReadResponse(answers, nil)
			if err != nil || answer.StatusCode != http.StatusOK {
				return
			}
			served.Add(1)
		}
	}()
	for _, step := range steps {
		time.Sleep(step.pause)
		if step.timeouts != (httpapi.Timeouts{}) {
			current.Store(&step.timeouts)
		}
		if step.send != "" {
			_, _ = io.WriteString(client, step.send)
		}
		synctest.Wait()
	}
	_ = client.Close()
	close(listener)
	_ = server.Close()
	synctest.Wait()
	if opened.Load() != 1 || closed.Load() != 1 {
		return -1 // the server's own ConnState was not called
	}
	return int(served.Load())
}
