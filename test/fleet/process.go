package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one started process.
type Process struct {
	// Name names the process; Address is where it answers HTTP.
	Name    string
	Address string
	// PeerAddress is where a node answers its peers.
	PeerAddress string
	// LogFile holds what the process printed.
	LogFile string

	command *exec.Cmd
	ended   chan struct{}
}

func start(dir, name, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, args...)
	command.Stdout = out
	command.Stderr = out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = out.Close()
		return nil, err
	}
	p := &Process{
		Name:    name,
		LogFile: path,
		command: command,
		ended:   make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// WaitExit waits until the process is gone, for a bounded time.
func (p *Process) WaitExit(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

var errNoPort = errors.New("no free port on the loopback address")

// Ports below the range that the kernel hands out by itself, so that nothing else takes one between finding and using it.
const (
	firstPort = 20000
	lastPort  = 32000
	portTries = 100
)

func freeAddress() (string, error) {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", errNoPort
}

// PID returns the process's ID.
func (p *Process) PID() int { return p.command.Process.Pid }
