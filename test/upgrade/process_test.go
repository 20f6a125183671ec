package upgrade

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// gracePeriod is the time from SIGTERM to SIGKILL.
const gracePeriod = 8 * time.Second

// node is an entry VM, whose process may be replaced.
type node struct {
	t        *testing.T
	settings string
	metrics  string
	callers  string
	ready    string
	command  *exec.Cmd
	ended    chan struct{}
}

func newNode(t *testing.T, name, ip, store string, seeds []string) *node {
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
	n := &node{
		t:        t,
		settings: filepath.Join(t.TempDir(), "settings.json"),
		callers:  addresses[0],
		ready:    addresses[1],
	}
	_, n.metrics, _ = net.SplitHostPort(addresses[4])
	data, err := json.Marshal(map[string]any{
		"node_name": name,
		"ip":        ip,
		"zone":      "a",
		"region":    "north",
		"zones":     map[string]string{"a": "north"},
		"listen": map[string]string{
			"front":     addresses[0],
			"ready":     addresses[1],
			"directory": addresses[2],
			"control":   ip + ":" + peerPort,
		},
		"seeds":    seeds,
		"limits":   map[string]any{"memory_mb": 134},
		"bounds":   map[string]any{"grace_s": gracePeriod.Seconds(), "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56},
		"platform": map[string]any{"address": store},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.signal(syscall.SIGKILL) })
	return n
}

// start starts a build of the program and waits until it is ready.
func (n *node) start(program string) {
	n.t.Helper()
	n.command = exec.Command(program, "gateway", "--metrics-port", n.metrics, "--log-level", "error")
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
			n.t.Fatalf("process of %s ended by itself", n.callers)
		default:
		}
		if time.Now().After(deadline) {
			n.t.Fatalf("process of %s is not ready in time", n.callers)
		}
	}
}

// stop asks the process to stop and waits for its end.
func (n *node) stop() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(gracePeriod):
		n.t.Errorf("process of %s ran longer than its grace period", n.callers)
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
}

func (n *node) signal(signal syscall.Signal) {
	if n.command != nil {
		_ = n.command.Process.Signal(signal)
	}
}
