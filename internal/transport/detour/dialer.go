package detour

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/reach"
	"lagoongw/internal/transport/connection"
)

const (
	// DialTimeout limits the time to connect directly and then through other nodes.
	DialTimeout = 1200 * time.Millisecond
	// openTimeout is how long another node may take to connect: a direct connect, another one that shows that its own path is
	// not at fault, and a round trip.
	openTimeout = 500 * time.Millisecond
	// maxAsked is the number of nodes that are asked at once for a connection, maxConfirming the number of those that are asked
	// whether an upstream is down, and opinionWait how long a connect that has failed directly waits for the first one.
	maxAsked      = 4
	maxConfirming = 8
	opinionWait   = 100 * time.Millisecond
	// confirmWait is how long the answers of all of them are waited for before an upstream is taken for crashed.
	confirmWait = 150 * time.Millisecond
)

// Dialer connects to upstreams, directly or through other nodes; its exported fields must be set before it is used.
type Dialer struct {
	// Direct connects to an upstream directly.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Nodes returns the names of the other nodes that may be connected through, in the order of preference.
	Nodes func() []string
	// Through connects to an upstream through another node.
	Through func(ctx context.Context, node, address string) (net.Conn, reach.Opinion, error)
	// OnVerdict, if set, is called when another node has told whether it reaches an upstream that this node could not
	// connect to. It must not block.
	OnVerdict func(address string, reached bool)
	// Logger receives the log lines.
	Logger zerolog.Logger

	mu     sync.Mutex
	paths  reach.Paths
	cutOff bool
}

// Dial connects to the upstream at an address. If it can't connect directly, other nodes are asked whether the upstream or the
// path is at fault.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.Broken(address) && len(d.Nodes()) > 0 {
		return d.dialThrough(ctx, address)
	}
	conn, err := d.dialDirect(ctx, address)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	if len(d.Nodes()) == 0 {
		return nil, &connection.UnreachableError{
			Confirmed: true,
			Cause:     err,
		}
	}
	if d.Broken(address) { // learned while this connect was under way
		return d.dialThrough(ctx, address)
	}
	if d.failed(address) {
		if conn := d.first(ctx, address, opinionWait); conn != nil {
			return conn, nil
		}
	}
	return nil, &connection.UnreachableError{
		Confirmed: d.down(address),
		Cause:     err,
	}
}

// Usable reports whether a connection to an address may carry another request: one through another node only while the path
// is broken and that node is still to be connected through, a direct one only while it is not.
func (d *Dialer) Usable(address string, conn net.Conn) bool {
	through, detoured := conn.(*Conn)
	if !detoured {
		return !d.Broken(address) || len(d.Nodes()) == 0
	}
	return d.Broken(address) && slices.Contains(d.Nodes(), through.via)
}

// Answered records that a whole answer has come on a connection.
func (d *Dialer) Answered(_ string, conn net.Conn) {
	if _, detoured := conn.(*Conn); !detoured {
		d.record(func() { d.paths.Heard(time.Now()) })
	}
}

// OpenedLately reports whether a direct connection was opened of late.
func (d *Dialer) OpenedLately() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.OpenedLately(time.Now())
}

// KnownBroken reports whether another node has reached an address while this one could not.
func (d *Dialer) KnownBroken(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.KnownBroken(address)
}

// Broken reports whether the path to an address is broken.
func (d *Dialer) Broken(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Broken(address)
}

// CutOff reports whether this node takes itself for cut off from all upstreams.
func (d *Dialer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.CutOff()
}

// BrokenPaths returns the number of upstreams to which the path is known to be broken.
func (d *Dialer) BrokenPaths() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.BrokenPaths()
}

// Tick connects directly to upstreams whose paths were broken, to learn whether they work again; it is to be called several
// times a second.
func (d *Dialer) Tick(now time.Time) {
	d.mu.Lock()
	probes := d.paths.Probes(now)
	d.mu.Unlock()
	for _, address := range probes {
		go func() {
			if conn, err := d.dialDirect(context.Background(), address); err == nil {
				_ = conn.Close()
			}
		}()
	}
}

// dialDirect connects directly, and records a success.
func (d *Dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connection.DefaultDialTimeout)
	defer cancel()
	conn, err := d.Direct(ctx, address)
	if err != nil {
		return nil, err
	}
	d.record(func() { d.paths.Opened(address, time.Now()) })
	return conn, nil
}

func (d *Dialer) failed(address string) (ask bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Failed(address, time.Now())
}

func (d *Dialer) down(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Down(address, time.Now())
}

// ConfirmDown reports whether an upstream that refuses the connections of this node is down: other nodes can't connect to it
// either, or there are none.
func (d *Dialer) ConfirmDown(ctx context.Context, address string) bool {
	if len(d.Nodes()) == 0 {
		return true
	}
	if d.KnownBroken(address) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	answers := d.askAll(ctx, address, maxConfirming)
	late := time.NewTimer(confirmWait)
	defer late.Stop()
	for {
		select {
		case conn, more := <-answers:
			switch {
			case conn != nil:
				_ = conn.Close()
				go closeAll(answers)
				return false
			case !more:
				return d.reachedByNone(address)
			}
		case <-late.C:
			go closeAll(answers)
			return d.reachedByNone(address)
		}
	}
}

func closeAll(conns <-chan net.Conn) {
	for conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

func (d *Dialer) reachedByNone(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.ReachedByNone(address, time.Now())
}

// first asks other nodes for a connection to an upstream, and returns the first one if it comes within a time, else nil. The
// rest of the answers are recorded in the background.
func (d *Dialer) first(ctx context.Context, address string, within time.Duration) net.Conn {
	asking, cancel := context.WithTimeout(context.Background(), openTimeout)
	answers := d.askAll(asking, address, maxAsked)
	first := make(chan net.Conn, 1)
	go func() {
		defer cancel()
		for conn := range answers {
			if conn == nil {
				continue
			}
			select {
			case first <- conn:
			default:
				_ = conn.Close()
			}
		}
		close(first)
		d.conclude(address)
	}()
	soon := time.NewTimer(within)
	defer soon.Stop()
	select {
	case conn := <-first:
		return conn
	case <-soon.C:
	case <-ctx.Done():
	}
	go func() {
		if conn := <-first; conn != nil {
			_ = conn.Close()
		}
	}()
	return nil
}

// conclude passes on whether an upstream is down once the nodes that were asked have answered.
func (d *Dialer) conclude(address string) {
	if d.down(address) {
		d.verdict(address, false)
	}
}

// askAll asks several nodes for a connection to an upstream, and returns a channel with the connection of each, or nil, which is
// closed after the last one.
func (d *Dialer) askAll(ctx context.Context, address string, count int) <-chan net.Conn {
	nodes, _ := d.ranked(address)
	nodes = nodes[:min(len(nodes), count)]
	answers := make(chan net.Conn, len(nodes))
	var group sync.WaitGroup
	for _, node := range nodes {
		group.Go(func() {
			conn, _ := d.through(ctx, node, address)
			answers <- conn
		})
	}
	go func() {
		group.Wait()
		close(answers)
	}()
	return answers
}

// ranked returns the nodes to connect to an address through, the first ones first, and how many have reached it of late.
func (d *Dialer) ranked(address string) (nodes []string, proven int) {
	nodes = d.Nodes()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths.Detours(address, nodes, time.Now())
}

// dialThrough connects through one of the other nodes: one that has reached the upstream of late, or the first that does.
func (d *Dialer) dialThrough(ctx context.Context, address string) (net.Conn, error) {
	nodes, proven := d.ranked(address)
	if proven > 0 {
		conn, err := d.through(ctx, nodes[0], address)
		if conn != nil {
			return conn, nil
		}
		if err != nil {
			d.Logger.Debug().Err(err).Str("step", "detour").Str("peer", nodes[0]).Msg("asking other nodes for a connection")
		}
	}
	if conn := d.first(ctx, address, openTimeout); conn != nil {
		return conn, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return nil, &connection.UnreachableError{
		Confirmed: d.down(address),
		Cause:     fmt.Errorf("no node gives a connection to upstream %s", address),
	}
}

// through connects through another node; the connection is nil without an error if the node gives none.
func (d *Dialer) through(ctx context.Context, node, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, opinion, err := d.Through(ctx, node, address)
	d.record(func() {
		if err != nil {
			d.paths.Silent(node, time.Now())
			return
		}
		d.paths.Told(address, node, opinion, time.Now())
	})
	if opinion == reach.Reached {
		d.verdict(address, true)
	}
	switch {
	case err != nil:
		return nil, fmt.Errorf("connect to upstream %s through node %s: %w", address, node, err)
	case conn == nil:
		return nil, nil
	case ctx.Err() != nil:
		_ = conn.Close()
		return nil, ctx.Err()
	}
	return NewConn(conn, node), nil
}

func (d *Dialer) verdict(address string, reached bool) {
	if d.OnVerdict != nil {
		d.OnVerdict(address, reached)
	}
}

// record updates the paths, and logs when this node begins or ceases to take itself for cut off.
func (d *Dialer) record(update func()) {
	d.mu.Lock()
	update()
	cutOff := d.paths.CutOff()
	changed := cutOff != d.cutOff
	d.cutOff = cutOff
	broken := d.paths.BrokenPaths()
	d.mu.Unlock()
	switch {
	case changed && cutOff:
		d.Logger.Warn().Str("decision", "path").Int("broken-paths", broken).
			Msg("cut off from the upstreams, which other entry VMs reach; connecting through these, check this VM's network")
	case changed:
		d.Logger.Info().Str("decision", "path").Int("broken-paths", broken).Msg("an upstream is reached directly again")
	}
}
