package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"
)

const (
	// maxSeeds is the number of nodes that the settings name.
	maxSeeds = 3
	// metricsPort is the port of the metrics that the deploy file names.
	metricsPort = 9464
	// readyTimeout is how long the start of a node may take.
	readyTimeout = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// Node is an entry VM with one process of the gateway.
type Node struct {
	Name, IP, Zone, Store, Seeds string

	base    int
	file    string
	log     *os.File
	command *exec.Cmd
	ended   chan struct{}
}

// Port returns a port of the node; all nodes use the same ones.
func (n *Node) Port(number int) int { return n.base + number }

// Address returns the address of a listener of the node.
func (n *Node) Address(number int) string { return fmt.Sprintf("%s:%d", n.IP, n.Port(number)) }

// Numbers of the listeners of a node.
const (
	portCallers = iota
	portReady
	portControl
	portDirectory
)

// claimNetwork returns the first three bytes of loopback addresses on which no other run listens, and the first of its ports.
func claimNetwork() (network string, base int, err error) {
	for range 50 {
		network = fmt.Sprintf("127.%d.%d.", 30+rand.IntN(60), rand.IntN(250))
		base = 20_000 + 20*rand.IntN(500)
		free := true
		for _, port := range []int{base, base + 1, base + 2, base + 3, metricsPort} {
			for ip := 1; ip <= maxSeeds; ip++ {
				listener, listenErr := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", network, ip, port)) //nolint:noctx // it is closed at once
				if listenErr != nil {
					free, err = false, listenErr
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, base, nil
		}
	}
	return "", 0, err
}

// NewNodes returns nodes that are not started yet, whose settings and logs are in a directory.
func NewNodes(count int, store, dir string) ([]*Node, error) {
	network, base, err := claimNetwork()
	if err != nil {
		return nil, err
	}
	var nodes []*Node
	var seeds []string
	for i := range count {
		n := &Node{
			Name:  fmt.Sprint("front-", i+1),
			IP:    fmt.Sprint(network, i+1),
			Zone:  []string{"muscat-a", "muscat-b"}[i%2],
			Store: store,
			base:  base,
			file:  filepath.Join(dir, fmt.Sprintf("settings-%d.json", i+1)),
		}
		nodes = append(nodes, n)
		if len(seeds) < maxSeeds {
			seeds = append(seeds, n.Address(portControl))
		}
	}
	list, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	for _, n := range nodes {
		n.Seeds = string(list)
		if err := n.writeSettings(dir); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

func (n *Node) writeSettings(dir string) error {
	text, err := template.New("settings").Parse(settingsTemplate)
	if err != nil {
		return err
	}
	file, err := os.Create(n.file)
	if err != nil {
		return err
	}
	if err := text.Execute(file, n); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	n.log, err = os.Create(filepath.Join(dir, n.Name+".log"))
	return err
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() error {
	command := exec.Command("target/lagoongw", "gateway") //nolint:noctx // it is ended by a signal
	command.Env = []string{"LAGOONGW_CONFIG=" + n.file, "GOGC=50"}
	command.Stdout, command.Stderr = n.log, n.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// AwaitReady waits until the node says that it is ready.
func (n *Node) AwaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(readyPoll) {
		response, err := client.Get("http://" + n.Address(portReady) + "/readyz") //nolint:noctx // the client has a timeout
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in time", n.Name)
}

// Kill ends the node's process at once.
func (n *Node) Kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.ended
	n.command = nil
}

// resolve asks the directory of one of the nodes for the addresses of the nodes.
func resolve(nodes []*Node) []string {
	client := &http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(nodes)) {
		response, err := client.Get( //nolint:noctx // the client has a timeout
			"http://" + nodes[i].Address(portDirectory) + "/resolve?name=h.example&region=muscat&zone=" + nodes[i].Zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// holder returns the name of the node that has an address, or an empty string.
func holder(nodes []*Node, address string) string {
	for _, n := range nodes {
		if strings.HasPrefix(address, n.IP+":") {
			return n.Name
		}
	}
	return ""
}
