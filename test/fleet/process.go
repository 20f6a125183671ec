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

// Process is a process of a fleet.
type Process struct {
	Name string
	// Address is the host and port of its HTTP interface.
	Address string
	// PeerAddress is the host and port on which a node listens for its peers.
	PeerAddress string
	// LogFile is the path of the file that holds its standard output and standard error.
	LogFile string

	command *exec.Cmd
	exited  chan struct{}
}

// startProcess starts a program and writes its output to a file in dir. Pdeathsig makes the kernel kill the process if
// the test ends without calling Stop.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
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
		exited:  make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// WaitExit waits for the process to exit and reports whether it did so before the timeout.
func (p *Process) WaitExit(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

var errNoPort = errors.New("no free port on the loopback address")

// freeAddress takes ports from below the kernel's ephemeral range, so that no outgoing connection takes one before the
// started process listens on it; endPort is exclusive.
const (
	firstPort       = 20000
	endPort         = 32000
	maxPortAttempts = 100
)

// freeAddress returns a random loopback address on which nothing listens.
func freeAddress() (string, error) {
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(endPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", errNoPort
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.command.Process.Pid }
