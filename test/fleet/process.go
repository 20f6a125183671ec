package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
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

// takenPorts holds the ports that freeAddress has returned: their processes may not listen yet.
var takenPorts sync.Map

// loopbackHost returns the loopback address of the fleets of this process. Tests of other packages run at the same time, and
// could take a port before the process for which it was chosen listens on it.
func loopbackHost() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(200+pid>>16&31), byte(pid>>8), byte(pid)).String()
}

// freeAddress returns a random loopback address on which nothing listens, and that it has not returned before.
func freeAddress() (string, error) {
	for range maxPortAttempts {
		port := firstPort + rand.IntN(endPort-firstPort)
		if _, taken := takenPorts.LoadOrStore(port, true); taken {
			continue
		}
		address := net.JoinHostPort(loopbackHost(), strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address, nil
	}
	return "", errNoPort
}

// checkRunning returns an error with the end of the log if the process has exited.
func (p *Process) checkRunning() error {
	const shownBytes = 2000
	select {
	case <-p.exited:
	default:
		return nil
	}
	log, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s has exited; the end of its log:\n%s", p.Name, log[max(len(log)-shownBytes, 0):])
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.command.Process.Pid }
