package memory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lagoongw/platform"
)

const (
	// waitTimeout bounds waits for events that take milliseconds to seconds.
	waitTimeout    = 30 * time.Second
	pollInterval   = 20 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
)

// program is the path of the program, built once for all tests.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lagoongw-memory")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "lagoongw")
	flags := regexp.MustCompile(`(?m)^build = "go build (.*) -o .*"`).FindSubmatch(deployFile())
	build := exec.Command("go", append(append([]string{"build"}, strings.Fields(string(flags[1]))...), "-o", program, "lagoongw")...)
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build the program: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a gateway process with the settings of the smallest VM.
type process struct {
	t       *testing.T
	id      int
	command *exec.Cmd
	logFile string
	// callers, ready, peers and metrics are the addresses that it listens on.
	callers, ready, peers, metrics string
	// highestKB is the highest sum of the resident memory and the bytes that its sockets received and it hasn't read.
	highestKB atomic.Int64
}

// startProcess starts a gateway with a name, a store and seeds, waits until it is ready and kills it when the test ends.
func startProcess(t *testing.T, name, store string, seeds []string) *process {
	t.Helper()
	addresses := freeAddresses(t, 5)
	p := &process{
		t:       t,
		logFile: filepath.Join(t.TempDir(), "log"),
		callers: addresses[0],
		ready:   addresses[1],
		peers:   addresses[3],
		metrics: addresses[4],
	}
	settings := map[string]any{
		"node_name": name,
		"ip":        "127.0.0.1",
		"zone":      "a",
		"region":    "north",
		"zones":     map[string]string{"a": "north"},
		"listen": map[string]string{
			"front":     p.callers,
			"ready":     p.ready,
			"directory": addresses[2],
			"control":   p.peers,
		},
		"seeds":    seeds,
		"limits":   map[string]any{"cpu_share": 0.192, "cpu_cores": 1, "memory_mb": limitMB, "link_mbps": 10},
		"bounds":   map[string]any{"grace_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56},
		"platform": map[string]any{"address": store},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	_, metricsPort, _ := net.SplitHostPort(p.metrics)
	log, err := os.Create(p.logFile)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(program, "gateway", "--metrics-port", metricsPort)
	p.command.Env = append([]string{"GOMAXPROCS=1", platform.SettingsVariable + "=" + path}, deployedEnvironment()...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	p.id = p.command.Process.Pid
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		_ = log.Close()
	})
	p.eventually("it is ready", func() bool {
		status, _ := fetch("http://" + p.ready + "/readyz")
		return status == http.StatusOK
	})
	go p.sample(t.Context())
	return p
}

// deployFile returns the file that specifies how the program is built and run.
func deployFile() []byte {
	data, err := os.ReadFile(filepath.Join("..", "..", "deploy", "system.toml"))
	if err != nil {
		panic(err)
	}
	return data
}

// deployedEnvironment returns the environment variables that the deployment sets for the program.
func deployedEnvironment() []string {
	var environment []string
	table := regexp.MustCompile(`(?m)^env = \{(.*)\}`).FindSubmatch(deployFile())
	if table == nil {
		return nil
	}
	for _, entry := range regexp.MustCompile(`(\w+) = "([^"]*)"`).FindAllStringSubmatch(string(table[1]), -1) {
		environment = append(environment, entry[1]+"="+entry[2])
	}
	return environment
}

func freeAddresses(t *testing.T, count int) []string {
	var addresses []string
	for range count {
		listener := listen(t, "127.0.0.1")
		addresses = append(addresses, listener.Addr().String())
		defer func() { _ = listener.Close() }()
	}
	return addresses
}

// listen returns a listener on a free port of an IP address.
func listen(t *testing.T, ip string) net.Listener {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func fetch(url string) (status int, body string) {
	client := http.Client{Timeout: waitTimeout}
	response, err := client.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// eventually waits until ok returns true, and fails the test after waitTimeout or when the process has ended.
func (p *process) eventually(condition string, ok func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if !p.alive() {
			p.t.Fatalf("process ended before: %s; the end of the log:\n%s", condition, p.endOfLog())
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("condition not met in time: %s; the end of the log:\n%s", condition, p.endOfLog())
		}
	}
}

func (p *process) endOfLog() []byte {
	const size = 4 << 10
	data, _ := os.ReadFile(p.logFile)
	return data[max(0, len(data)-size):]
}

func (p *process) alive() bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.id))
	return err == nil && !strings.Contains(string(data), ") Z ")
}

// statusKB returns a field of the process's status that is in kilobytes.
func (p *process) statusKB(field string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.id))
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}

// sample keeps highestKB up to date until the context is done.
func (p *process) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.highestKB.Store(max(p.highestKB.Load(), p.statusKB("VmRSS")+p.unreadKB()))
	}
}

// unreadKB returns the bytes that the process's sockets received and the process hasn't read.
func (p *process) unreadKB() int64 {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.id))
	sockets := map[string]bool{}
	for _, link := range links {
		target, _ := os.Readlink(link)
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.id))
	var unread int64
	const stateField, queuesField, inodeField, listening = 3, 4, 9, "0A"
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) <= inodeField || !sockets[fields[inodeField]] || fields[stateField] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		unread += n
	}
	return unread >> 10
}

// checkMemory fails the test if the process has ended or its memory was ever above what is allowed, and logs what
// held it.
func (p *process) checkMemory(allowedKB int64) {
	p.t.Helper()
	if !p.alive() {
		p.t.Fatal("process ended")
	}
	peak := max(p.statusKB("VmHWM"), p.highestKB.Load())
	p.t.Logf("peak %d KB, resident %d KB, with unread bytes of sockets %d KB; now anonymous %d KB, of files %d KB",
		peak, p.statusKB("VmHWM"), p.highestKB.Load(), p.statusKB("RssAnon"), p.statusKB("RssFile"))
	data, _ := os.ReadFile(p.logFile)
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, `"decision":"memory"`) {
			p.t.Log(strings.TrimSpace(line))
		}
	}
	if peak >= allowedKB {
		p.t.Errorf("peak of %d KB: expected less than %d KB of %d MB", peak, allowedKB, limitMB)
	}
}

// routesVersion returns the version of the routes in force at the process.
func (p *process) routesVersion() int {
	_, body := fetch("http://" + p.metrics + "/metrics")
	for line := range strings.Lines(body) {
		if text, found := strings.CutPrefix(line, "lagoongw_routes_version "); found {
			version, _ := strconv.ParseFloat(strings.TrimSpace(text), 64)
			return int(version)
		}
	}
	return 0
}
