package command

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/rule"
)

// argumentsVariable holds the arguments of a command that TestCommandAsProcess runs in a process of its own.
const argumentsVariable = "LAGOONGW_TEST_ARGUMENTS"

// TestCommandAsProcess is not a test: it runs the command that another test starts as a process.
func TestCommandAsProcess(_ *testing.T) {
	arguments := os.Getenv(argumentsVariable)
	if arguments == "" {
		return
	}
	os.Exit(Main(strings.Split(arguments, " "), os.Stdout, os.Stderr))
}

// process is a command that runs as a process of its own.
type process struct {
	*exec.Cmd
	log    *os.File
	errors bytes.Buffer
}

// startProcess starts a command and returns once it has logged that it serves.
func startProcess(t *testing.T, arguments ...string) *process {
	t.Helper()
	log, output, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		Cmd: exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestCommandAsProcess$"), //nolint:gosec // this test
		log: log,
	}
	p.Env = append(os.Environ(), argumentsVariable+"="+strings.Join(arguments, " "))
	p.Stdout, p.Stderr = output, &p.errors
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	_ = output.Close()
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"serving"`) {
			return p
		}
	}
	t.Fatalf("%s ended: %v, %s", arguments[0], p.Wait(), p.errors.String())
	return nil
}

// freePorts returns ports that nothing listens on at an address.
func freePorts(t *testing.T, ip string, count int) (ports []int) {
	t.Helper()
	for range count {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// TestSignalsThatDoNotStopAProcess guards against processes that end at once, with all requests in flight, when the reader of
// their log goes away or a terminal hangs up.
func TestSignalsThatDoNotStopAProcess(t *testing.T) {
	const ip = "127.0.0.3"
	ports := freePorts(t, ip, 5)
	path := filepath.Join(t.TempDir(), "settings.json")
	settings := fmt.Appendf(nil, `{"node_name": "n", "ip": "%s", "zone": "a", "region": "r",
		"listen": {"front": "%[1]s:%[2]d", "ready": "%[1]s:%[3]d", "control": "%[1]s:%[4]d", "directory": "%[1]s:%[5]d"},
		"bounds": {"grace_s": 1, "retry_window_s": 10}, "platform": {"address": "%[1]s:1"}}`, ip, ports[0], ports[1], ports[2], ports[3])
	is.New(t).NoErr(os.WriteFile(path, settings, 0o600))
	for name, c := range map[string]struct {
		arguments []string
		answers   string
		// stop is the signal that starts the drain.
		stop syscall.Signal
	}{
		"gateway": {
			arguments: []string{"gateway", "--config", path, "--metrics-port", fmt.Sprint(ports[4])},
			answers:   fmt.Sprintf("http://%s:%d/metrics", ip, ports[4]),
			stop:      syscall.SIGTERM,
		},
		"serve": {
			arguments: []string{
				"serve", "--name", "entry-1", "--listen", fmt.Sprintf("%s:%d", ip, ports[0]), "--peer-listen",
				fmt.Sprintf("%s:%d", ip, ports[1]), "--address", fmt.Sprintf("%s:%d", ip, ports[0]), "--peer-address",
				fmt.Sprintf("%s:%d", ip, ports[1]), "--availability-zone", "a", "--region", "r", "--platform", "http://" + ip + ":1",
				"--keep-answer", "1s", "--secret", "a-secret-of-sixteen", "--operator-token-sha256", rule.HashToken("operator"),
			},
			answers: fmt.Sprintf("http://%s:%d/v1/entry-vms", ip, ports[0]),
			stop:    syscall.SIGHUP,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startProcess(t, c.arguments...)
			is.NoErr(p.log.Close())
			if c.stop != syscall.SIGHUP {
				is.NoErr(p.Process.Signal(syscall.SIGHUP))
			}
			for range 3 { // each request is answered, and the lines about it can't be written
				time.Sleep(100 * time.Millisecond)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.answers, nil)
				is.NoErr(err)
				response, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
			}
			is.NoErr(p.Process.Signal(c.stop))
			is.NoErr(p.Wait()) // it drains and exits with 0
		})
	}
}
