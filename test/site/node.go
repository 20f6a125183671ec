package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// peerPort is the port on which each node listens for its peers.
const peerPort = "17946"

// Node is an entry VM, whose process may be stopped, and started again as another build.
type Node struct {
	// Name is the name of the VM, Callers the address that it listens on for callers, and Directory that for callers who ask where
	// to connect.
	Name, Callers, Directory string

	t        testing.TB
	grace    time.Duration
	settings string
	metrics  string
	ready    string
	command  *exec.Cmd
	ended    chan struct{}
}

// Settings describe the nodes of a site.
type Settings struct {
	// Nodes is the number of nodes, in turn in each of Zones zones, which are in one region.
	Nodes, Zones int
	// Store is the address of the store.
	Store string
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
}

// NewNodes returns the nodes of a site, none of them started, which are ended with the test.
func NewNodes(t testing.TB, s Settings) (nodes []*Node) {
	t.Helper()
	var ips, seeds []string
	network := claimNetwork(t)
	for i := range s.Nodes {
		ips = append(ips, fmt.Sprint(network, 1+i))
		if len(seeds) < maxSeeds {
			seeds = append(seeds, ips[i]+":"+peerPort)
		}
	}
	for i, ip := range ips {
		nodes = append(nodes, newNode(t, s, i, ip, seeds))
	}
	return nodes
}

// maxSeeds is the number of nodes that the settings name.
const maxSeeds = 3

// networks counts the networks that this process has tried to claim.
var networks atomic.Int32

// maxNetworks is the number of networks that are tried.
const maxNetworks = 100

// claimNetwork returns the first three bytes of loopback addresses that no other site uses until the test has ended, also none of
// a test of another process: its nodes would listen on the same port for their peers. A socket on the last address is the claim.
func claimNetwork(t testing.TB) string {
	t.Helper()
	for range maxNetworks {
		network := fmt.Sprintf("127.%d.%d.", 100+(os.Getpid()>>8+int(networks.Add(1)))%100, os.Getpid()%256)
		claim, err := new(net.ListenConfig).Listen(t.Context(), "tcp", network+"255:"+peerPort)
		if err == nil {
			t.Cleanup(func() { _ = claim.Close() })
			return network
		}
	}
	t.Fatal("all networks are in use")
	return ""
}

func newNode(t testing.TB, s Settings, number int, ip string, seeds []string) *Node {
	t.Helper()
	var addresses []string
	for range 5 {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, listener.Addr().String())
		defer func() { _ = listener.Close() }()
	}
	n := &Node{
		Name:      fmt.Sprint("vm-", number),
		Callers:   addresses[0],
		Directory: addresses[2],
		t:         t,
		grace:     s.Grace,
		settings:  filepath.Join(t.TempDir(), "settings.json"),
		ready:     addresses[1],
	}
	_, n.metrics, _ = net.SplitHostPort(addresses[4])
	zones := map[string]string{}
	for zone := range max(s.Zones, 1) {
		zones[zoneName(zone)] = "north"
	}
	data, err := json.Marshal(map[string]any{
		"node_name": n.Name,
		"ip":        ip,
		"zone":      zoneName(number % len(zones)),
		"region":    "north",
		"zones":     zones,
		"listen": map[string]string{
			"front":     addresses[0],
			"ready":     addresses[1],
			"directory": addresses[2],
			"control":   ip + ":" + peerPort,
		},
		"seeds":    seeds,
		"limits":   map[string]any{"memory_mb": 134},
		"bounds":   map[string]any{"grace_s": s.Grace.Seconds(), "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56},
		"platform": map[string]any{"address": s.Store},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Signal(syscall.SIGKILL) })
	return n
}

// zoneName returns the name of a zone: a, b and so on.
func zoneName(number int) string { return string(rune('a' + number)) }

// Start starts a build of the program and waits until it is ready. Log lines at the given level and above go to a writer.
func (n *Node) Start(program, logLevel string, log io.Writer) {
	n.t.Helper()
	n.command = exec.Command(program, "gateway", "--metrics-port", n.metrics, "--log-level", logLevel)
	n.command.Stdout = log
	n.command.Env = []string{"LAGOONGW_CONFIG=" + n.settings, "GOGC=50"}
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		n.t.Fatal(err)
	}
	ended, command := make(chan struct{}), n.command
	n.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		select {
		case <-ended:
			n.t.Fatalf("process of %s ended by itself", n.Callers)
		default:
		}
		if time.Now().After(deadline) {
			n.t.Fatalf("process of %s is not ready in time", n.Callers)
		}
	}
}

// Stop asks the process to stop and waits for its end. It kills one that runs for longer than its grace period, and reports whether
// it did not.
func (n *Node) Stop() (inTime bool) {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		return true
	case <-time.After(n.grace):
		n.Kill()
		return false
	}
}

// Kill ends the process at once.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.ended
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	if n.command != nil {
		_ = n.command.Process.Signal(signal)
	}
}
