package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
	"lagoongw/internal/transport/node"
	"lagoongw/internal/transport/peer"
	"lagoongw/test/fleet"
	"lagoongw/test/standin"
)

// Lab is a platform, engines, order services and nodes that run in the test process.
type Lab struct {
	Platform *standin.Platform
	Engines  []*standin.Engine
	Services []*standin.Service
	Nodes    []*Node

	t            testing.TB
	platformURL  string
	machines     []wire.Machine
	publishCount int
}

// Node is a running node of a lab.
type Node struct {
	*node.Node
	cancel  context.CancelFunc
	stopped chan struct{}
}

// Settings holds the number of nodes and stand-ins of a lab and their configuration.
type Settings struct {
	Nodes    int
	Engines  int
	Services int
	// ConfigureNode, ConfigurePlatform and ConfigureEngine change a node or stand-in before it starts; each may be nil.
	ConfigureNode     func(*node.Node)
	ConfigurePlatform func(*standin.Platform)
	ConfigureEngine   func(*standin.Engine)
	// Rules is the text of the rule file, fleet.Rules() if empty.
	Rules string
}

type location struct {
	zone   string
	region string
}

// locations are assigned to the nodes and stand-ins of each kind in turn.
var locations = []location{
	{zone: "lom-a", region: "lombardia"},
	{zone: "lom-b", region: "lombardia"},
	{zone: "ven-a", region: "veneto"},
}

// Start starts a lab that runs until the test ends, and returns when the rule file is in force at every node.
func Start(t testing.TB, settings Settings) *Lab {
	t.Helper()
	l := &Lab{
		Platform: &standin.Platform{},
		t:        t,
	}
	if settings.ConfigurePlatform != nil {
		settings.ConfigurePlatform(l.Platform)
	}
	l.platformURL = l.registerServer(httptest.NewServer(l.Platform.Handler()))
	for i := range settings.Engines {
		l.addEngine(i, settings)
	}
	for i := range settings.Services {
		l.addService(i)
	}
	for i := range settings.Nodes {
		l.addNode(i, settings)
	}
	l.Platform.SetMachines(l.machines)
	l.WaitUntil(func() bool { return l.ready(settings) })
	if settings.Rules == "" {
		settings.Rules = fleet.Rules()
	}
	l.Publish(settings.Rules)
	return l
}

// registerServer returns the URL of a server and closes it when the test ends, without waiting for requests in flight.
func (l *Lab) registerServer(server *httptest.Server) string {
	l.t.Cleanup(func() {
		server.CloseClientConnections()
		_ = server.Config.Close()
	})
	return server.URL
}

func (l *Lab) addEngine(i int, settings Settings) {
	engine := &standin.Engine{
		Name:        fmt.Sprintf("engine-%d", i+1),
		Slots:       8,
		TokenTime:   time.Millisecond,
		PrefillTime: time.Millisecond,
		Models:      []string{"planner"},
	}
	if settings.ConfigureEngine != nil {
		settings.ConfigureEngine(engine)
	}
	l.Engines = append(l.Engines, engine)
	url := l.registerServer(httptest.NewServer(engine.Handler()))
	l.addMachine(engine.Name, "engine", "engines", url, i)
}

func (l *Lab) addService(i int) {
	service := &standin.Service{Slots: 64}
	l.Services = append(l.Services, service)
	url := l.registerServer(httptest.NewServer(service.Handler()))
	l.addMachine(fmt.Sprintf("order-desk-%d", i+1), "service", "orders", url, i)
}

func (l *Lab) addMachine(name, kind, pool, url string, i int) {
	loc := locations[i%len(locations)]
	l.machines = append(l.machines, wire.Machine{
		Name:             name,
		Kind:             kind,
		Pool:             pool,
		Address:          strings.TrimPrefix(url, "http://"),
		AvailabilityZone: loc.zone,
		Region:           loc.region,
		State:            "live",
		Slots:            8,
		Models:           []string{"planner"},
	})
}

func (l *Lab) addNode(i int, settings Settings) {
	loc := locations[i%len(locations)]
	callerListener, peerListener := listenLoopback(l.t), listenLoopback(l.t)
	n := &node.Node{
		Name:                 fmt.Sprintf("entry-%d", i+1),
		CallerListener:       callerListener,
		PeerListener:         peerListener,
		Address:              callerListener.Addr().String(),
		PeerAddress:          peerListener.Addr().String(),
		AvailabilityZone:     loc.zone,
		Region:               loc.region,
		PlatformURL:          l.platformURL,
		Secret:               []byte(fleet.PeerSecret),
		OperatorTokenHash:    rule.HashToken(fleet.OperatorToken),
		EntryAnswerTTL:       200 * time.Millisecond,
		KeyLifetime:          time.Hour,
		LogRetention:         4 * time.Hour,
		ClaimPartitions:      2,
		ClaimHolders:         3,
		LeaseLength:          1200 * time.Millisecond,
		DemandReportInterval: 300 * time.Millisecond,
		StreamIdleTimeout:    400 * time.Millisecond,
		CallerStallTimeout:   10 * time.Second,
		LogTimeout:           500 * time.Millisecond,
		Logger:               zerolog.Nop(),
	}
	if len(l.Nodes) > 0 {
		n.Seeds = []string{l.Nodes[0].PeerAddress}
	}
	if settings.ConfigureNode != nil {
		settings.ConfigureNode(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &Node{
		Node:    n,
		cancel:  cancel,
		stopped: make(chan struct{}),
	}
	l.Nodes = append(l.Nodes, running)
	go func() {
		defer close(running.stopped)
		if err := n.Run(ctx); err != nil {
			l.t.Error(err)
		}
	}()
	l.t.Cleanup(func() {
		cancel()
		<-running.stopped
	})
}

// WaitStopped waits for the node to stop and reports whether it did so before the timeout.
func (n *Node) WaitStopped(timeout time.Duration) bool {
	select {
	case <-n.stopped:
		return true
	case <-time.After(timeout):
		return false
	}
}

func listenLoopback(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// WaitUntil polls a condition until it holds, and fails the test if it does not hold within 30 s.
func (l *Lab) WaitUntil(condition func() bool) {
	l.t.Helper()
	const (
		timeout  = 30 * time.Second
		interval = 10 * time.Millisecond
	)
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(interval) {
		if time.Now().After(deadline) {
			l.t.Fatalf("condition still does not hold after %s", timeout)
		}
	}
}

// ready reports whether every node is ready, knows all members, which are the nodes, and all upstreams, which are the
// engines and order services, and has an admission limit for each pool.
func (l *Lab) ready(settings Settings) bool {
	for _, n := range l.Nodes {
		if !n.Ready() {
			return false
		}
		status := n.Status()
		upstreams := 0
		for _, pool := range status.Pools {
			upstreams += len(pool.Replicas)
			if pool.Limit == 0 {
				return false
			}
		}
		if len(status.Members) < settings.Nodes || upstreams < settings.Engines+settings.Services {
			return false
		}
	}
	return true
}

// Publish publishes a rule file through the first node and waits until it is in force at every node.
func (l *Lab) Publish(text string) {
	l.t.Helper()
	l.publishCount++
	verdict, err := l.Nodes[0].Publish(l.t.Context(), wire.PublishRequest{
		PublishID: fmt.Sprintf("lab-%d", l.publishCount),
		Base:      l.Nodes[0].Status().Revision,
		Text:      text,
	})
	if err != nil || !verdict.Accepted {
		l.t.Fatalf("rule file not accepted: error %v, reason %q", err, verdict.Reason)
	}
	l.WaitUntil(func() bool {
		for _, n := range l.Nodes {
			if n.Status().Revision < verdict.Revision {
				return false
			}
		}
		return true
	})
}

// WaitIdle waits until no order service has a request in progress, so that Executions counts every execution.
func (l *Lab) WaitIdle() {
	l.t.Helper()
	l.WaitUntil(func() bool {
		for _, service := range l.Services {
			if service.InFlight() > 0 {
				return false
			}
		}
		return true
	})
}

// Executions returns the number of executions by idempotency key, or by request body for orders without a key, summed
// over all order services.
func (l *Lab) Executions() map[string]int {
	sum := map[string]int{}
	for _, service := range l.Services {
		for key, count := range service.Executions() {
			sum[key] += count
		}
	}
	return sum
}

// Process returns a fleet.Process with the name and address of the node, for the request functions of package fleet.
func (n *Node) Process() *fleet.Process {
	return &fleet.Process{
		Name:    n.Name,
		Address: n.Address,
	}
}

// SetVMState changes the state of a VM in the platform's list of VMs; all other VMs have their initial state.
func (l *Lab) SetVMState(name, state string) {
	machines := append([]wire.Machine{}, l.machines...)
	for i := range machines {
		if machines[i].Name == name {
			machines[i].State = state
		}
	}
	l.Platform.SetMachines(machines)
}

// SendDigest authenticates to the peer address of a node with the given secret, sends a digest, which is a
// membership message, without member rows and stores the node's digest in result.
func SendDigest(ctx context.Context, secret, address string, result *wire.Digest) error {
	client := &peer.Client{
		Name:   "lab",
		Secret: []byte(secret),
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return client.Call(ctx, address, peer.MethodDigest, wire.Digest{From: wire.Member{Name: "lab"}}, result)
}

// GetStatusCode returns the HTTP status code of a GET request with an optional bearer token, or 0 without a response.
func GetStatusCode(ctx context.Context, address, path, token string) int {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// ListedAddresses returns the addresses of the entry VMs to which a node directs callers, or nil after an error.
func (l *Lab) ListedAddresses(n *Node) []string {
	response, err := fleet.Send(l.t.Context(), n.Process(), http.MethodGet, "/v1/entry-vms", "", nil, "")
	if err != nil {
		return nil
	}
	var entry wire.EntryAnswer
	if json.Unmarshal([]byte(response.Body), &entry) != nil {
		return nil
	}
	return entry.Addresses
}

// UpstreamAddress returns the host and port of the named upstream, or an empty string if there is none.
func (l *Lab) UpstreamAddress(name string) string {
	for _, machine := range l.machines {
		if machine.Name == name {
			return machine.Address
		}
	}
	return ""
}

// SleepBriefly sleeps for 100 ms.
func (l *Lab) SleepBriefly() {
	const d = 100 * time.Millisecond
	time.Sleep(d)
}
