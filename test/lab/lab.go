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

// Lab is a platform, engines, order desks and nodes in this process.
type Lab struct {
	Platform *standin.Platform
	Engines  []*standin.Engine
	Services []*standin.Service
	Nodes    []*Node

	t           testing.TB
	platformURL string
	machines    []wire.Machine
	published   int
}

// Node is one running node and the end of its run.
type Node struct {
	*node.Node
	cancel context.CancelFunc
	ended  chan struct{}
}

// Settings say how large a lab is; Change may alter a node before it runs.
type Settings struct {
	Nodes             int
	Engines           int
	Services          int
	ConfigureNode     func(*node.Node)
	ConfigurePlatform func(*standin.Platform)
	ConfigureEngine   func(*standin.Engine)
	Rules             string
}

type place struct {
	zone   string
	region string
}

var places = []place{
	{zone: "lom-a", region: "lombardia"},
	{zone: "lom-b", region: "lombardia"},
	{zone: "ven-a", region: "veneto"},
}

// Start runs a lab until the test ends, with the rule file in force at every node.
func Start(t testing.TB, settings Settings) *Lab {
	t.Helper()
	l := &Lab{
		Platform: &standin.Platform{},
		t:        t,
	}
	if settings.ConfigurePlatform != nil {
		settings.ConfigurePlatform(l.Platform)
	}
	l.platformURL = l.serve(httptest.NewServer(l.Platform.Handler()))
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
	l.WaitUntil(func() bool { return l.complete(settings) })
	if settings.Rules == "" {
		settings.Rules = fleet.Rules()
	}
	l.Publish(settings.Rules)
	return l
}

func (l *Lab) serve(server *httptest.Server) string {
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
	url := l.serve(httptest.NewServer(engine.Handler()))
	l.addMachine(engine.Name, "engine", "engines", url, i)
}

func (l *Lab) addService(i int) {
	service := &standin.Service{Slots: 64}
	l.Services = append(l.Services, service)
	url := l.serve(httptest.NewServer(service.Handler()))
	l.addMachine(fmt.Sprintf("order-desk-%d", i+1), "service", "orders", url, i)
}

func (l *Lab) addMachine(name, kind, pool, url string, i int) {
	at := places[i%len(places)]
	l.machines = append(l.machines, wire.Machine{
		Name:             name,
		Kind:             kind,
		Pool:             pool,
		Address:          strings.TrimPrefix(url, "http://"),
		AvailabilityZone: at.zone,
		Region:           at.region,
		State:            "live",
		Slots:            8,
		Models:           []string{"planner"},
	})
}

func (l *Lab) addNode(i int, settings Settings) {
	at := places[i%len(places)]
	callers, peers := openSocket(l.t), openSocket(l.t)
	n := &node.Node{
		Name:                 fmt.Sprintf("entry-%d", i+1),
		CallerListener:       callers,
		PeerListener:         peers,
		Address:              callers.Addr().String(),
		PeerAddress:          peers.Addr().String(),
		AvailabilityZone:     at.zone,
		Region:               at.region,
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
		Node:   n,
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	l.Nodes = append(l.Nodes, running)
	go func() {
		defer close(running.ended)
		if err := n.Run(ctx); err != nil {
			l.t.Error(err)
		}
	}()
	l.t.Cleanup(func() {
		cancel()
		<-running.ended
	})
}

// WaitStopped reports whether the node's run has ended, after waiting for a bounded time.
func (n *Node) WaitStopped(within time.Duration) bool {
	select {
	case <-n.ended:
		return true
	case <-time.After(within):
		return false
	}
}

func openSocket(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// WaitUntil polls a condition until it holds; it fails the test after a generous time.
func (l *Lab) WaitUntil(done func() bool) {
	l.t.Helper()
	const (
		limit = 30 * time.Second
		pause = 10 * time.Millisecond
	)
	for until := time.Now().Add(limit); !done(); time.Sleep(pause) {
		if time.Now().After(until) {
			l.t.Fatalf("condition does not hold after %s", limit)
		}
	}
}

func (l *Lab) complete(settings Settings) bool {
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

// Publish publishes a rule file through the first node and waits until every node has it in force.
func (l *Lab) Publish(text string) {
	l.t.Helper()
	l.published++
	verdict, err := l.Nodes[0].Publish(l.t.Context(), wire.PublishRequest{
		PublishID: fmt.Sprintf("lab-%d", l.published),
		Base:      l.Nodes[0].Status().Revision,
		Text:      text,
	})
	if err != nil || !verdict.Accepted {
		l.t.Fatalf("publish: %v %s", err, verdict.Reason)
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

// WaitIdle waits until no order desk is at work any more, so that what will run has run.
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

// Executions returns how often each key ran, over all order desks.
func (l *Lab) Executions() map[string]int {
	sum := map[string]int{}
	for _, service := range l.Services {
		for key, count := range service.Executions() {
			sum[key] += count
		}
	}
	return sum
}

// Process returns a node as the fleet's request functions want it.
func (n *Node) Process() *fleet.Process {
	return &fleet.Process{
		Name:    n.Name,
		Address: n.Address,
	}
}

// SetVMState changes the state of a VM in the platform's list.
func (l *Lab) SetVMState(name, state string) {
	machines := append([]wire.Machine{}, l.machines...)
	for i := range machines {
		if machines[i].Name == name {
			machines[i].State = state
		}
	}
	l.Platform.SetMachines(machines)
}

// SendDigest sends an empty digest to a node with a given secret.
func SendDigest(ctx context.Context, secret, address string, into *wire.Digest) error {
	client := &peer.Client{
		Name:   "lab",
		Secret: []byte(secret),
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return client.Call(ctx, address, peer.MethodDigest, wire.Digest{From: wire.Member{Name: "lab"}}, into)
}

// GetStatusCode returns the status of an operator's call, 0 when there was no answer.
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

// ListedAddresses returns the addresses that a node lists for callers.
func (l *Lab) ListedAddresses(n *Node) []string {
	answer, err := fleet.Send(l.t.Context(), n.Process(), http.MethodGet, "/v1/entry-vms", "", nil, "")
	if err != nil {
		return nil
	}
	var entry wire.EntryAnswer
	if json.Unmarshal([]byte(answer.Body), &entry) != nil {
		return nil
	}
	return entry.Addresses
}

// UpstreamAddress returns the address of an upstream.
func (l *Lab) UpstreamAddress(name string) string {
	for _, machine := range l.machines {
		if machine.Name == name {
			return machine.Address
		}
	}
	return ""
}

// SleepBriefly lets a little time pass.
func (l *Lab) SleepBriefly() {
	const d = 100 * time.Millisecond
	time.Sleep(d)
}
