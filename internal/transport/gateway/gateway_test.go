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
	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/connection"
	"lagoongw/internal/transport/detour"
	"lagoongw/internal/transport/gateway"
	"lagoongw/internal/transport/origins"
	"lagoongw/platform"
)

// script handles one request at an upstream; it returns false to close the connection.
type script func(conn net.Conn, r *http.Request) bool

// testGateway is a gateway with scripted upstreams; all connections are in memory.
type testGateway struct {
	gateway *gateway.Server
	origins *origins.Service
	// store is a site's node's way to the store, and upstreams its list of upstreams.
	store     *storeClient
	upstreams *replica.Table
	// detours and detourServer are those of a node of a site.
	detours      *detour.Dialer
	detourServer *detour.Server
	server       *http.Server
	client       *http.Client
	// dialCaller opens a caller's connection to the gateway.
	dialCaller func(ctx context.Context, network, address string) (net.Conn, error)
	phase      drain.Phase

	mu       sync.Mutex
	scripts  map[string]script
	dials    map[string]int
	received []string
}

// pipeListener is a listener over in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	callerSide, gatewaySide := net.Pipe()
	select {
	case p.conns <- gatewaySide:
		return callerSide, nil
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
	"services": [{"name": "s"}], "limits": {"max_body_bytes": 100, "max_header_bytes": 2000},
	"tenants": [{"name": "t1", "api_keys": ["k1"]}]}`

// defaultVersion is the software version of an upstream whose name is not in versionsByName.
const defaultVersion = "v1"

var versionsByName = map[string]string{
	"other":         "v2",
	"without entry": "",
}

// newTestGateway starts a gateway whose upstreams, by name, follow the scripts; one with a nil script refuses
// connections. Only u1 is in the gateway's region, so it is tried before u2.
func newTestGateway(t *testing.T, scripts map[string]script) *testGateway {
	t.Helper()
	table, _, err := platform.ParseManifest([]byte(manifest))
	if err != nil {
		t.Fatal(err)
	}
	g := &testGateway{
		scripts:   scripts,
		dials:     map[string]int{},
		upstreams: replica.NewTable(),
		origins: &origins.Service{
			Nodes: func() []origin.Node { return nil },
			Versions: func() (map[string][]string, bool) {
				return map[string][]string{"s": {defaultVersion}}, true
			},
		},
	}
	upstreams := g.upstreams
	var rows []wire.Machine
	for name := range scripts {
		row := wire.Machine{
			Name:    name,
			Kind:    replica.KindService,
			Pool:    "s",
			Address: name,
			Region:  "near",
			Slots:   8,
			Version: defaultVersion,
		}
		if version, found := versionsByName[name]; found {
			row.Version = version
		}
		if name != "u1" {
			row.AvailabilityZone, row.Region = "b", "far"
		}
		rows = append(rows, row)
	}
	upstreams.Update(rows)
	pool := connection.NewPool()
	pool.Dial = g.dial
	g.gateway = &gateway.Server{
		Codec:  platform.Headers{},
		Routes: func() *route.Table { return table },
		Dispatcher: &dispatch.Dispatcher{
			Region: "near",
			Table:  upstreams,
			Pool:   table.Pool,
			Nodes:  func() int { return 1 },
		},
		Connections: pool,
		Origins:     g.origins,
		RetryBudget: g.budget(),
		Phase:       func() drain.Phase { return g.phase },
		Memory:      memory.NewBudget(0),
		Metrics:     gateway.NewMetrics(),
		Logger:      zerolog.Nop(),
	}
	listener := &pipeListener{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
	g.server = &http.Server{
		Handler:      g.gateway,
		WriteTimeout: time.Minute,
	}
	g.dialCaller = listener.dial
	g.client = &http.Client{Transport: &http.Transport{DialContext: listener.dial}}
	go func() { _ = g.server.Serve(listener) }()
	t.Cleanup(func() {
		g.client.CloseIdleConnections()
		_ = g.server.Close()
		time.Sleep(time.Second) // checks of upstreams that have broken off an answer end
		pool.CloseIdle(time.Now().Add(time.Hour))
		time.Sleep(time.Minute) // the server closes its last connections
	})
	return g
}

func (g *testGateway) budget() func(string) *retry.WindowBudget {
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

func (g *testGateway) dial(ctx context.Context, address string) (net.Conn, error) {
	g.mu.Lock()
	g.dials[address]++
	respond := g.scripts[address]
	g.mu.Unlock()
	if respond == nil {
		return nil, errRefused
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	gatewaySide, upstreamSide := net.Pipe()
	go g.serve(address, upstreamSide, respond)
	return gatewaySide, nil
}

func (g *testGateway) serve(name string, conn net.Conn, respond script) {
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
		g.mu.Lock()
		g.received = append(g.received,
			fmt.Sprintf("%s %s %s last=%s", name, r.Method, r.RequestURI, r.Header.Get("Last-Event-Id")))
		g.mu.Unlock()
		if !respond(conn, r) {
			return
		}
	}
}

// receivedRequests returns the requests that have reached the upstreams, in order.
func (g *testGateway) receivedRequests() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.received)
}

// callResult is the answer that a caller received, zero if there was none.
type callResult struct {
	status int
	body   string
	// whole reports whether the body ended without an error.
	whole  bool
	header http.Header
}

func (g *testGateway) call(ctx context.Context, path, body string, headers map[string]string) callResult {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, bytesReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Lagoongw-Attempt-Id", "id-1")
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	response, err := g.client.Do(r)
	if err != nil {
		return callResult{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode,
		body:   string(text),
		whole:  err == nil,
		header: response.Header,
	}
}
