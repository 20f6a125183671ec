package peer

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"lagoongw/internal/protocol/wire"
)

// DefaultDialTimeout is the time for a connection, and then for its handshake, if Client.DialTimeout is not set. It covers the
// round trips while links are full; calls to a peer that doesn't answer end sooner.
const DefaultDialTimeout = time.Second

const maxIdleTime = 5 * time.Minute

// ErrAuthentication is returned when the other side did not prove that it holds the shared secret.
var ErrAuthentication = eris.New("peer does not hold the shared secret")

// Client calls peers and keeps one connection to each address; it is safe for concurrent use.
type Client struct {
	// Name is this node's name.
	Name string
	// Secret is the shared secret of all nodes.
	Secret []byte
	// DialTimeout, if set, limits the time to connect, and then that to authenticate, in place of DefaultDialTimeout.
	DialTimeout time.Duration
	// Control, if set, is called for each socket before it connects, as by net.Dialer.
	Control func(network, address string, raw syscall.RawConn) error

	mu sync.Mutex
	// conns holds the authenticated connections by address, and opening those that are being opened.
	conns     map[string]*conn
	opening   map[string]*opening
	closed    bool
	receiving allowance
	sent      atomic.Int64
	received  atomic.Int64
}

// conn is a connection that the client keeps.
type conn struct {
	rpc *jsonrpc2.Conn
	// lastUsed is the time of the last call; the client's mu guards it.
	lastUsed time.Time
	// reads counts the reads that returned bytes of the peer.
	reads atomic.Int64
}

// opening is a connection that is being opened for all calls to an address.
type opening struct {
	// done is closed once conn or err is set.
	done chan struct{}
	conn *conn
	err  error
}

// ByteCounts returns the number of bytes sent and received so far on the connections that this node opened.
func (c *Client) ByteCounts() (sent, received int64) {
	return c.sent.Load(), c.received.Load()
}

// Call sends a request to a peer and decodes its answer into result.
//
// After any error but one that the peer answered with it closes the connection, so that the next call opens a new one. It
// does so after a timeout only if the peer has sent nothing meanwhile: else other calls are being answered.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, readsBefore, err := c.connection(ctx, address)
	if err != nil {
		return eris.Wrapf(err, "connect to peer %s", address)
	}
	if err := conn.rpc.Call(ctx, method, params, result); err != nil {
		slow := ctx.Err() != nil && errors.Is(err, ctx.Err()) && conn.reads.Load() != readsBefore
		if !slow && !IsRefusal(err) {
			c.drop(address, conn)
		}
		return eris.Wrapf(err, "call %s at peer %s", method, address)
	}
	return nil
}

// IsRefusal reports whether a peer has answered a call with an error, as opposed to not having answered.
func IsRefusal(err error) bool {
	var answered *jsonrpc2.Error
	return errors.As(err, &answered)
}

// Download sends a request whose answer may be large, on a connection of its own, so that other calls don't wait for it
// and its end closes nothing that they use. It goes on for as long as the peer sends something within each silence.
func (c *Client) Download(
	ctx context.Context, address, method string, params, result any, silence time.Duration,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(max(c.dialTimeout(), silence), cancel)
	defer silent.Stop()
	rpc, err := c.dial(ctx, address, func() { silent.Reset(silence) })
	if err != nil {
		return eris.Wrapf(err, "connect to peer %s", address)
	}
	defer func() { _ = rpc.Close() }()
	return eris.Wrapf(rpc.Call(ctx, method, params, result), "call %s at peer %s", method, address)
}

func (c *Client) dialTimeout() time.Duration { return cmp.Or(c.DialTimeout, DefaultDialTimeout) }

// Close closes every connection. Calls fail from then on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, cached := range c.conns {
		_ = cached.rpc.Close()
		delete(c.conns, address)
	}
}

// CloseIdle closes the connections that have not been used for maxIdleTime.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cached := range c.conns {
		if now.Sub(cached.lastUsed) > maxIdleTime {
			_ = cached.rpc.Close()
			delete(c.conns, address)
		}
	}
}

// connection returns the connection to an address, opens one if there is none, and returns how often it had been read when the
// call began. Opening goes on after the call has ended, so that the next one doesn't begin anew: while links are full it takes
// longer than a call may.
func (c *Client) connection(ctx context.Context, address string) (opened *conn, reads int64, err error) {
	c.mu.Lock()
	cached := c.conns[address]
	if cached != nil {
		cached.lastUsed = time.Now()
		c.mu.Unlock()
		return cached, cached.reads.Load(), nil
	}
	o := c.opening[address]
	if o == nil {
		o = &opening{done: make(chan struct{})}
		if c.opening == nil {
			c.opening = map[string]*opening{}
		}
		c.opening[address] = o
		go c.open(address, o)
	}
	c.mu.Unlock()
	select {
	case <-o.done:
		return o.conn, 0, o.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// open opens the connection for all calls to an address.
func (c *Client) open(address string, o *opening) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*c.dialTimeout())
	defer cancel()
	opened := &conn{lastUsed: time.Now()}
	rpc, err := c.dial(ctx, address, func() { opened.reads.Add(1) })
	opened.rpc = rpc
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(o.done)
	delete(c.opening, address)
	if err == nil && c.closed {
		_ = rpc.Close()
		err = net.ErrClosed
	}
	if err != nil {
		o.err = err
		return
	}
	if c.conns == nil {
		c.conns = map[string]*conn{}
	}
	opened.lastUsed = time.Now()
	c.conns[address] = opened
	o.conn = opened
}

// drop closes a connection and removes it, if it is still the one kept for the address.
func (c *Client) drop(address string, dropped *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == dropped {
		delete(c.conns, address)
	}
	_ = dropped.rpc.Close()
}

// dial opens a connection and authenticates both sides. It calls progress each time that bytes are received.
func (c *Client) dial(ctx context.Context, address string, progress func()) (*jsonrpc2.Conn, error) {
	dialer := net.Dialer{
		Timeout: c.dialTimeout(),
		Control: c.Control,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := countingConn{
		Conn:     writeTimeoutConn{Conn: raw},
		sent:     &c.sent,
		received: &c.received,
		progress: progress,
	}
	frames := codec{
		maxRead:   func() int { return MaxAnswerBytes },
		receiving: &c.receiving,
	}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(counted, frames), methodNotFoundHandler{},
		withoutLibraryLog)
	if err := c.authenticate(ctx, rpc); err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return rpc, nil
}

// withoutLibraryLog keeps the library from writing lines that are not structured to standard error. The errors of a
// connection reach those who call on it.
var withoutLibraryLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// authenticate proves to the listener that this node holds the shared secret, and checks the listener's proof.
func (c *Client) authenticate(ctx context.Context, rpc *jsonrpc2.Conn) error {
	var challenge wire.Challenge
	if err := rpc.Call(ctx, MethodChallenge, nil, &challenge); err != nil {
		return err
	}
	nonce := newNonce()
	hello := wire.Hello{
		Name:  c.Name,
		Nonce: nonce,
		Proof: computeProof(c.Secret, roleCaller, c.Name, nonce, challenge.Nonce),
	}
	var answer wire.HelloAnswer
	if err := rpc.Call(ctx, MethodHello, hello, &answer); err != nil {
		return err
	}
	if !equalProofs(answer.Proof, computeProof(c.Secret, roleListener, c.Name, nonce, challenge.Nonce)) {
		return ErrAuthentication
	}
	return nil
}

// methodNotFoundHandler serves no methods: on a connection that this node opened, only this node sends requests.
type methodNotFoundHandler struct{}

// Handle answers every request with a method-not-found error and ignores notifications.
func (methodNotFoundHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{
		Code:    jsonrpc2.CodeMethodNotFound,
		Message: "no methods on this side",
	})
}
