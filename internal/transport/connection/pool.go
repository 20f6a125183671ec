package connection

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Defaults and limits of a pool.
const (
	// DefaultDialTimeout covers several round trips between regions; an unreachable upstream is given up after no more
	// than that, so that another can be tried.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if the upstream announces no timeout.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultUnackedTimeout is how long the upstream's VM may leave sent bytes or keep-alive probes unacknowledged; it covers a
	// few retransmissions on a lossy link, and a short silence of a sound upstream.
	DefaultUnackedTimeout = 3 * time.Second
	// DefaultMaxIdle is how many idle connections are kept in all.
	DefaultMaxIdle = 128
	// keepAliveInterval is the shortest interval between keep-alive probes that the kernel accepts.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	readBufferBytes   = 4 << 10
	// idleMargin is how long before the upstream's own timeout an idle connection is given up, so that no request is sent
	// while the upstream closes it.
	idleMargin = 500 * time.Millisecond
)

// Pool keeps idle connections by address; its exported fields must be set before use.
type Pool struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the upstream announces no timeout or a longer one.
	IdleTimeout time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	UnackedTimeout time.Duration
	// MaxIdle limits the idle connections of all addresses; beyond it, those unused for longest are closed.
	MaxIdle int
	// ReceiveBuffer limits the unread bytes of each connection.
	ReceiveBuffer ReceiveBuffer
	// Dial, if set, opens connections instead of DialDirect.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Usable, if set, reports whether a connection to an address may carry another request.
	Usable func(address string, conn net.Conn) bool
	// OnAnswer, if set, is called when a whole answer has come on a connection. It must not block.
	OnAnswer func(address string, conn net.Conn)

	mu sync.Mutex
	// idle holds the idle connections by address, and order those of all addresses; the ones unused for longest come
	// first in both.
	idle   map[string][]*Conn
	order  list.List
	opened atomic.Int64
	reused atomic.Int64
}

// Conn is one connection to an upstream; it belongs to one goroutine at a time.
type Conn struct {
	net net.Conn
	// source reads the responses from net, and reader from source.
	source *source
	reader *bufio.Reader
	// address is the address of the upstream.
	address  string
	openedAt time.Time
	// answered reports that a whole answer has come, and refusals holds the refused requests.
	answered bool
	refusals refusals
	// idleUntil is when an idle connection is given up.
	idleUntil time.Time
	// place is the connection's place in the order of the pool's idle connections.
	place *list.Element
}

// NewPool returns a pool with the default settings.
func NewPool() *Pool {
	return &Pool{
		DialTimeout:    DefaultDialTimeout,
		IdleTimeout:    DefaultIdleTimeout,
		UnackedTimeout: DefaultUnackedTimeout,
		MaxIdle:        DefaultMaxIdle,
		idle:           map[string][]*Conn{},
	}
}

// Counts returns how many connections were opened, and how often an idle one was reused.
func (p *Pool) Counts() (opened, reused int64) { return p.opened.Load(), p.reused.Load() }

// Get returns an idle connection for a request that is open, has no unread bytes and on which the request was not refused
// before, or opens a new one.
func (p *Pool) Get(ctx context.Context, address, requestID string) (*Conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.connect(ctx, address)
		}
		if time.Now().Before(c.idleUntil) && p.usable(c) && c.reusable() && !c.refusals.has(requestID) {
			p.reused.Add(1)
			return c, nil
		}
		c.Close()
	}
}

// pop removes the idle connection that was returned last and returns it, or nil if there is none.
func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[address] = conns[:len(conns)-1]
	p.order.Remove(c.place)
	return c
}

func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = p.DialDirect
	}
	opening := time.Now()
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to upstream %s", address)
	}
	p.opened.Add(1)
	source := newSource(raw)
	return &Conn{
		net:      raw,
		source:   source,
		reader:   bufio.NewReaderSize(source, readBufferBytes),
		address:  address,
		openedAt: opening,
	}, nil
}

// usable reports whether a connection may carry another request as far as its path is concerned.
func (p *Pool) usable(c *Conn) bool { return p.Usable == nil || p.Usable(c.address, c.net) }

// DialDirect opens a socket to an address.
func (p *Pool) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	dialer := NewDialer(p.DialTimeout, p.UnackedTimeout)
	setOptions := dialer.Control
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if err := p.ReceiveBuffer.Control(network, address, raw); err != nil {
			return err
		}
		return setOptions(network, address, raw)
	}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newSocket(conn), nil
}

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveInterval,
	Interval: keepAliveInterval,
	Count:    keepAliveProbes,
}

// NewDialer returns a dialer with a dial timeout. Its connections fail when the other VM stops responding: after
// unanswered keep-alive probes while no sent bytes are outstanding, and after the unacked timeout (TCP_USER_TIMEOUT)
// while some are.
func NewDialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUnackedTimeout(raw, unacked) },
	}
}

func setUnackedTimeout(raw syscall.RawConn, unacked time.Duration) error {
	optionErr := error(nil)
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// NoticeSilence makes an accepted connection fail when the other VM stops responding, as those of NewDialer do.
func NoticeSilence(conn net.Conn, unacked time.Duration) {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = socket.SetKeepAliveConfig(keepAlive)
	if raw, err := socket.SyscallConn(); err == nil {
		_ = setUnackedTimeout(raw, unacked)
	}
}

// Put returns a connection to the pool; idle is the upstream's own idle timeout, 0 if it announced none. A connection
// with unread bytes is closed.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if idle <= 0 {
		idle = p.IdleTimeout
	} else {
		idle = min(max(idle-idleMargin, idle/2), p.IdleTimeout)
	}
	if c.hasUnread() || !p.usable(c) {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
	c.place = p.order.PushBack(c)
	if p.order.Len() > p.MaxIdle {
		p.evict()
	}
}

// evict closes the idle connection that is unused for longest; mu is held.
func (p *Pool) evict() {
	c, _ := p.order.Remove(p.order.Front()).(*Conn)
	p.idle[c.address] = slices.Delete(p.idle[c.address], 0, 1)
	c.Close()
}

// CloseIdle closes the idle connections whose idle timeout has passed or that are not usable any more.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) && p.usable(c) {
				kept = append(kept, c)
			} else {
				c.Close()
				p.order.Remove(c.place)
			}
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// OpenedAt returns when the connection began to be opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Abort resets the connection, so that the upstream sees that nobody waits for the answer. A close alone would tell it that the
// request has ended, and it could go on with its work.
func (c *Conn) Abort() { Reset(c.net) }

// Reset closes a connection so that the other side sees an error rather than its end. It closes those without that choice, as in
// tests, like any other.
func Reset(conn net.Conn) {
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// hasUnread reports whether bytes have come after the end of the last response.
func (c *Conn) hasUnread() bool { return c.reader.Buffered() > 0 || c.source.checker.Fault() != nil }

// reusable reports whether the connection is open and has no unread bytes. Bytes that arrive on an idle connection
// belong to no request and would be taken for the start of the next response. A connection that is not a socket, as in
// tests, counts as open.
func (c *Conn) reusable() bool {
	if c.hasUnread() {
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
	peekErr := error(nil)
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, unix.EAGAIN)
}
