package connection

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Defaults of the pool's settings.
const (
	// DefaultDialTimeout is several round trips between regions, so that a dark upstream is left at once.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is how long a connection is kept when the upstream names no time of its own.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultUnackedTimeout ends a connection whose sent bytes the upstream's VM does not acknowledge; it covers a few
	// retransmissions on a lossy link.
	DefaultUnackedTimeout = 2 * time.Second
	// keepAliveEvery is the shortest period of keep-alive probes that the kernel takes.
	keepAliveEvery = time.Second
	keepAliveTries = 2
	readBuffer     = 4 << 10
	// idleMargin is closed before the upstream's own timeout, so that no request meets the upstream's close.
	idleMargin = 500 * time.Millisecond
)

// Pool keeps idle connections by address; its exported fields are set before use.
type Pool struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept when the upstream names no time of its own.
	IdleTimeout time.Duration
	// UnackedTimeout ends a connection whose sent bytes are not acknowledged.
	UnackedTimeout time.Duration
	// Dial, when set, opens connections in place of the network.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*Conn
	opened atomic.Int64
	reused atomic.Int64
}

// Conn is one connection to an upstream; it belongs to one goroutine at a time.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	// address is where the connection leads.
	address string
	until   time.Time
}

// NewPool returns a pool with the default settings.
func NewPool() *Pool {
	return &Pool{
		DialTimeout:    DefaultDialTimeout,
		IdleTimeout:    DefaultIdleTimeout,
		UnackedTimeout: DefaultUnackedTimeout,
		idle:           map[string][]*Conn{},
	}
}

// Counts returns how many connections were opened, and how often a kept one was used again.
func (p *Pool) Counts() (opened, reused int64) { return p.opened.Load(), p.reused.Load() }

// Get returns a kept connection on which nothing has come in, or opens one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.open(ctx, address)
		}
		if time.Now().Before(c.until) && c.quiet() {
			p.reused.Add(1)
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = p.dial
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to upstream %s", address)
	}
	p.opened.Add(1)
	return &Conn{
		net:     raw,
		reader:  bufio.NewReaderSize(raw, readBuffer),
		address: address,
	}, nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	return NewDialer(p.DialTimeout, p.UnackedTimeout).DialContext(ctx, "tcp4", address)
}

// NewDialer returns a dialer whose connections end when the other VM falls silent: after keep-alive probes where nothing
// was sent, and after the unacked time where something was.
func NewDialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveEvery,
			Interval: keepAliveEvery,
			Count:    keepAliveTries,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// Put takes a connection back for another request; idle is the upstream's own timeout, zero where it named none.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if idle <= 0 {
		idle = p.IdleTimeout
	} else {
		idle = min(max(idle-idleMargin, idle/2), p.IdleTimeout)
	}
	if c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.until = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the connections that were kept for long enough.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// quiet reports whether the connection is open and has no bytes waiting, which would belong to no request of ours.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	waiting := error(nil)
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, waiting = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(waiting, unix.EAGAIN)
}
