package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/connection"
	"lagoongw/internal/transport/gateway"
	"lagoongw/platform"
)

// script is what an upstream does with one request; it returns false to close the connection.
type script func(conn net.Conn, r *http.Request) bool

// fleet is a gateway before scripted upstreams, all in memory.
type fleet struct {
	gateway *gateway.Server
	server  *http.Server
	client  *http.Client
	// dialCaller opens a caller's connection.
	dialCaller func(ctx context.Context, network, address string) (net.Conn, error)
	phase      drain.Phase

	mu      sync.Mutex
	scripts map[string]script
	dialled map[string]int
	runs    []string
}

// pipes is a listener over in-memory connections.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

const manifest = `{"version": 1,
	"routes": [
		{"name": "safe", "host": "h", "path_prefix": "/safe/", "kind": "safe", "timeout_ms": 1500, "service": "s", "max_attempts": 2, "public": true},
		{"name": "unsafe", "host": "h", "path_prefix": "/unsafe/", "kind": "unsafe", "timeout_ms": 1500, "service": "s", "max_attempts": 1, "public": true},
		{"name": "stream", "host": "h", "path_prefix": "/stream/", "kind": "stream", "timeout_ms": 8000, "target_gap_ms": 200, "service": "s", "max_attempts": 1, "public": true},
		{"name": "resumable", "host": "h", "path_prefix": "/resumable/", "kind": "stream", "timeout_ms": 15000, "target_gap_ms": 200,
		 "target_latency_ms": 1500, "service": "s", "max_attempts": 2, "public": true, "resumable": true},
		{"name": "keyed", "host": "h", "path_prefix": "/keyed/", "kind": "safe", "timeout_ms": 1500, "service": "s"}
	],
	"services": [{"name": "s"}], "limits": {"max_body_bytes": 100},
	"tenants": [{"name": "t1", "api_keys": ["k1"]}]}`

// newFleet starts a gateway whose upstreams, by name, follow the scripts; u1 is tried before u2.
func newFleet(t *testing.T, scripts map[string]script) *fleet {
	t.Helper()
	table, _, err := platform.ParseManifest([]byte(manifest))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		scripts: scripts,
		dialled: map[string]int{},
	}
	upstreams := replica.NewTable()
	var rows []wire.Machine
	for name := range scripts {
		row := wire.Machine{
			Name:    name,
			Kind:    replica.KindService,
			Pool:    "s",
			Address: name,
			Region:  "near",
			Slots:   8,
		}
		if name != "u1" {
			row.AvailabilityZone, row.Region = "b", "far"
		}
		rows = append(rows, row)
	}
	upstreams.Update(rows)
	pool := connection.NewPool()
	pool.Dial = f.dial
	f.gateway = &gateway.Server{
		Codec:  platform.Headers{},
		Routes: func() *route.Table { return table },
		Dispatcher: &dispatch.Dispatcher{
			Region: "near",
			Table:  upstreams,
			Pool:   table.Pool,
			Nodes:  func() int { return 1 },
		},
		Connections: pool,
		RetryBudget: f.budget(),
		Phase:       func() drain.Phase { return f.phase },
		Metrics:     gateway.NewMetrics(),
		Logger:      zerolog.Nop(),
	}
	listener := &pipes{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
	f.server = &http.Server{Handler: f.gateway}
	f.dialCaller = listener.dial
	f.client = &http.Client{Transport: &http.Transport{DialContext: listener.dial}}
	go func() { _ = f.server.Serve(listener) }()
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		_ = f.server.Close()
		pool.CloseIdle(time.Now().Add(time.Hour))
		time.Sleep(time.Minute) // what the server still closes
	})
	return f
}

func (f *fleet) budget() func(string) *retry.WindowBudget {
	window := &retry.WindowBudget{
		Allowance: func() retry.Allowance {
			return retry.Allowance{
				Length: 10 * time.Second,
				Slack:  20,
			}
		},
		Nodes: func() int { return 1 },
	}
	return func(string) *retry.WindowBudget { return window }
}

var errRefused = errors.New("connection refused")

func (f *fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	f.dialled[address]++
	run := f.scripts[address]
	f.mu.Unlock()
	if run == nil {
		return nil, errRefused
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go f.serve(address, far, run)
	return near, nil
}

func (f *fleet) serve(name string, conn net.Conn, run script) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytesReader(body))
		f.mu.Lock()
		f.runs = append(f.runs, fmt.Sprintf("%s %s %s last=%s", name, r.Method, r.RequestURI, r.Header.Get("Last-Event-Id")))
		f.mu.Unlock()
		if !run(conn, r) {
			return
		}
	}
}

// ran returns what reached the upstreams so far.
func (f *fleet) ran() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs)
}

// call is a caller's request and what it got.
type call struct {
	status int
	body   string
	whole  bool
	header http.Header
}

func (f *fleet) call(ctx context.Context, path, body string, head map[string]string) call {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, bytesReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Lagoongw-Attempt-Id", "id-1")
	for name, value := range head {
		r.Header.Set(name, value)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return call{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return call{
		status: response.StatusCode,
		body:   string(text),
		whole:  err == nil,
		header: response.Header,
	}
}
