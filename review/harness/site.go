package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	// readyTimeout limits the time until started processes are ready.
	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// node is an entry VM's process.
type node struct {
	Name, Zone, Region               string
	Front, Ready, Control, Directory string
	Seeds                            []string
	Store                            string

	metricsPort string
	dir         string
	command     *exec.Cmd
	ended       chan struct{}
}

// site is a small deployment: a store, replicas and entry VMs.
type site struct {
	dir     string
	journal *journal
	store   *store
	nodes   []*node
}

// newSite starts a store that holds the manifest.
func newSite(j *journal) (*site, error) {
	dir, err := os.MkdirTemp("", "lagoongw-review")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	s.put(names["topic-operator"], names["key-manifest"], manifest)
	return &site{
		dir:     dir,
		journal: j,
		store:   s,
	}, nil
}

// startNodes starts an entry VM in each zone and waits until all are ready.
func (s *site) startNodes() error {
	zones := []string{"muscat-a", "muscat-b", "salalah-a"}
	count := len(zones)
	addresses, err := freeAddresses(5 * count)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range count {
		seeds = append(seeds, addresses[5*i+2])
	}
	for i := range count {
		own := addresses[5*i:]
		_, metricsPort, _ := net.SplitHostPort(own[4])
		zone := zones[i]
		region, _, _ := strings.Cut(zone, "-")
		s.nodes = append(s.nodes, &node{
			Name:        fmt.Sprintf("front-%s-%d", zone, i+1),
			Zone:        zone,
			Region:      region,
			Front:       own[0],
			Ready:       own[1],
			Control:     own[2],
			Directory:   own[3],
			Seeds:       seeds,
			Store:       s.store.address,
			metricsPort: metricsPort,
			dir:         s.dir,
		})
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	if !s.awaitReady(readyTimeout) {
		return errors.New("the processes were not ready in time")
	}
	s.journal.note("%d entry VMs are ready", count)
	return nil
}

// The ports of the entry VMs lie below those that the kernel gives to outgoing connections, so that a process that is started
// again finds its own free.
const (
	lowestPort = 20000
	portCount  = 12000
	portTries  = 1000
)

// freeAddresses returns addresses on which nothing listens.
func freeAddresses(count int) (addresses []string, err error) {
	for range portTries {
		if len(addresses) == count {
			return addresses, nil
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))) //nolint:noctx // closed at once
		if err != nil {
			continue // the port is in use
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return nil, errors.New("no free ports")
}

// deployed returns the command and the environment of the deploy file.
func deployed() (command []string, environment []string, err error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if run == nil {
		return nil, nil, errors.New("no command in the deploy file")
	}
	if table := regexp.MustCompile(`(?m)^env = \{(.*)\}`).FindSubmatch(text); table != nil {
		for _, entry := range regexp.MustCompile(`(\w+) = "([^"]*)"`).FindAllStringSubmatch(string(table[1]), -1) {
			environment = append(environment, entry[1]+"="+entry[2])
		}
	}
	return strings.Fields(string(run[1])), environment, nil
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	command, environment, err := deployed()
	if err != nil {
		return err
	}
	path := filepath.Join(n.dir, n.Name+".json")
	if err := os.WriteFile(path, []byte(fill(settingsTemplate, n)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(command[0], command[1:]...) //nolint:noctx // it is ended by signals
	n.command.Env = append(environment, names["settings-variable"]+"="+path,
		names["metrics-variable"]+"="+n.metricsPort, "PATH="+os.Getenv("PATH"))
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	started := n.command
	go func() {
		_ = started.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// ready reports whether the process says that it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.Ready + names["call-ready"]) //nolint:noctx // it has a timeout
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// readyCount returns how many processes say that they are ready.
func (s *site) readyCount() int {
	count := 0
	for _, n := range s.nodes {
		if n.ready() {
			count++
		}
	}
	return count
}

// awaitReady waits until all processes are ready, and reports whether they were in time.
func (s *site) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if s.readyCount() == len(s.nodes) {
			return true
		}
	}
	return false
}

// stop ends all processes; KEEP=1 keeps their settings and logs.
func (s *site) stop() {
	for _, n := range s.nodes {
		if n.command != nil {
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", s.dir)
	}
}
