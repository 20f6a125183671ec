package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"lagoongw/internal/protocol/wire"
)

const (
	dialTimeout = 500 * time.Millisecond
	maxIdle     = 5 * time.Minute
)

// ErrAuthentication is returned when the other side does not hold the shared secret.
var ErrAuthentication = eris.New("peer does not hold the shared secret")

// Client calls peers over kept connections; it is safe for concurrent use.
type Client struct {
	// Name is this node's name.
	Name string
	// Secret is shared by all nodes.
	Secret []byte

	mu    sync.Mutex
	conns map[string]*conn
	sent  atomic.Int64
	got   atomic.Int64
}

type conn struct {
	rpc  *jsonrpc2.Conn
	used time.Time
}

// ByteCounts returns the bytes sent and received so far on the connections that this node opened.
func (c *Client) ByteCounts() (sent, received int64) {
	return c.sent.Load(), c.got.Load()
}

// Call sends a request to a peer and waits for its answer; on silence the connection is dropped, so that the next call opens a new one.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	rpc, err := c.connection(ctx, address)
	if err != nil {
		return eris.Wrapf(err, "connect to peer %s", address)
	}
	if err := rpc.Call(ctx, method, params, result); err != nil {
		c.drop(address, rpc)
		return eris.Wrapf(err, "call %s at peer %s", method, address)
	}
	return nil
}

// Close ends every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.conns {
		_ = kept.rpc.Close()
		delete(c.conns, address)
	}
}

// CloseIdle ends the connections that were not used for a while.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, kept := range c.conns {
		if now.Sub(kept.used) > maxIdle {
			_ = kept.rpc.Close()
			delete(c.conns, address)
		}
	}
}

func (c *Client) connection(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	kept := c.conns[address]
	if kept != nil {
		kept.used = time.Now()
		c.mu.Unlock()
		return kept.rpc, nil
	}
	c.mu.Unlock()
	rpc, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*conn{}
	}
	if other := c.conns[address]; other != nil {
		_ = rpc.Close()
		return other.rpc, nil
	}
	c.conns[address] = &conn{
		rpc:  rpc,
		used: time.Now(),
	}
	return rpc, nil
}

func (c *Client) drop(address string, rpc *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept := c.conns[address]; kept != nil && kept.rpc == rpc {
		delete(c.conns, address)
	}
	_ = rpc.Close()
}

func (c *Client) open(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := countingConn{
		Conn: raw,
		sent: &c.sent,
		got:  &c.got,
	}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(counted, codec{}), refuseAll{})
	if err := c.authenticate(ctx, rpc); err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return rpc, nil
}

func (c *Client) authenticate(ctx context.Context, rpc *jsonrpc2.Conn) error {
	var challenge wire.Challenge
	if err := rpc.Call(ctx, MethodChallenge, nil, &challenge); err != nil {
		return err
	}
	nonce := newNonce()
	hello := wire.Hello{
		Name:  c.Name,
		Nonce: nonce,
		Proof: proof(c.Secret, sideCaller, c.Name, nonce, challenge.Nonce),
	}
	var answer wire.HelloAnswer
	if err := rpc.Call(ctx, MethodHello, hello, &answer); err != nil {
		return err
	}
	if !sameProof(answer.Proof, proof(c.Secret, sideListener, c.Name, nonce, challenge.Nonce)) {
		return ErrAuthentication
	}
	return nil
}

// refuseAll ignores requests that come in on a connection that this node opened.
type refuseAll struct{}

// Handle answers every request with an error.
func (refuseAll) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}
	_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{
		Code:    jsonrpc2.CodeMethodNotFound,
		Message: "no methods on this side",
	})
}
