package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/coordination/ratelimit"
	"lagoongw/internal/coordination/reach"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rendezvous"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/state/route"
	"lagoongw/internal/transport/connection"
	"lagoongw/internal/transport/detour"
	"lagoongw/internal/transport/gateway"
	"lagoongw/internal/transport/origins"
	"lagoongw/platform"
)

const (
	siteNodes   = 5
	siteEngines = 8
	// crashDelay is how long an engine runs a request with the bad part before it crashes, crashDowntime how long it
	// is down.
	crashDelay    = 60 * time.Millisecond
	crashDowntime = 3 * time.Second
	// peerDelay is the time from one node to another.
	peerDelay = 5 * time.Millisecond
	// contactTime is the time after which all nodes must have learned what one of them has: a bad part or request after its
	// last crash that counts, or a limit.
	contactTime = 4 * time.Second
)

// Prompts; the last part is one of a request's own.
const (
	badPrompt   = "a:800,b:400,bad:90,%x:20"
	soundPrompt = "a:800,b:400,%x:20"
)

// beforeHead is the value of X-Test-Bad in a request that crashes its engine before the head of an answer.
const beforeHead = "before head"

// crashSite is several gateways that share engines; a request with the part "bad" crashes the engine that begins to
// answer it, and with it all other answers of that engine.
type crashSite struct {
	nodes []*testGateway
	mu    sync.Mutex
	// conns holds the open connections by engine, with the number of the node that opened each.
	conns    map[string]map[net.Conn]int
	downTill map[string]time.Time
	crashes  []time.Time
	badSends []time.Time
	// answer answers a sound request; it returns false to close the connection.
	answer func(engine string, conn net.Conn, r *http.Request) bool
	// engines is the number of engines, and versions are those of their software in turn.
	engines  int
	versions []string
	table    *route.Table
	// cuts holds, by the number of a node, since when and until when no other node reaches it.
	cuts map[int][2]time.Time
	// partitions holds, by the number of a node, how it is partitioned from the engines.
	partitions map[int]partition
	// log holds the warnings of all nodes.
	log lockedLog
	// store holds what the nodes write.
	store *siteStore
	// calls counts the requests of callers.
	calls int
}

// partition is how connects of a node to the engines fail.
type partition struct {
	// refused makes connects fail at once; else they hang.
	refused bool
	// halfOpen keeps the connections that are open alive.
	halfOpen bool
}

// noticeDelay is the time after which nodes notice that another one doesn't answer.
const noticeDelay = 2 * time.Second

// node returns the node with a number.
func (c *crashSite) node(number int) *testGateway {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[number]
}

// restart replaces a node by one that knows nothing.
func (c *crashSite) restart(t *testing.T, number int) {
	c.node(number).store.lost.Store(true)
	started := c.newNode(t, number, c.table)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[number] = started
}

// cut keeps the other nodes from reaching a node for a while.
func (c *crashSite) cut(number int, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[number] = [2]time.Time{time.Now(), time.Now().Add(length)}
}

// reaches reports whether two nodes reach each other, or did so a while ago.
func (c *crashSite) reaches(a, b int, ago time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-ago)
	isCut := func(number int) bool {
		cut, found := c.cuts[number]
		return found && !at.Before(cut[0]) && time.Now().Before(cut[1])
	}
	return a == b || !isCut(a) && !isCut(b)
}

// live returns the names of the nodes that one believes alive.
func (c *crashSite) live(number int) (names []string) {
	for other := range siteNodes {
		if c.reaches(number, other, noticeDelay) {
			names = append(names, fmt.Sprint(other))
		}
	}
	return names
}

func newCrashSite(t *testing.T) *crashSite {
	t.Helper()
	return newCrashSiteOf(t, siteEngines)
}

func newCrashSiteOf(t *testing.T, engines int, versions ...string) *crashSite {
	t.Helper()
	site := &crashSite{
		engines:    engines,
		versions:   append(versions, defaultVersion)[:max(len(versions), 1)],
		cuts:       map[int][2]time.Time{},
		partitions: map[int]partition{},
		conns:      map[string]map[net.Conn]int{},
		downTill:   map[string]time.Time{},
		store:      newSiteStore(),
		answer:     func(_ string, conn net.Conn, r *http.Request) bool { return longStream(conn, r) },
	}
	table, _, err := platform.ParseManifest([]byte(manifest))
	if err != nil {
		t.Fatal(err)
	}
	site.table = table
	for i := range siteNodes {
		site.nodes = append(site.nodes, site.newNode(t, i, table))
	}
	go site.exchangeDigests(t.Context())
	return site
}

func (c *crashSite) newNode(t *testing.T, number int, table *route.Table) *testGateway {
	t.Helper()
	upstreams := replica.NewTable()
	upstreams.Update(c.rows())
	g := &testGateway{
		store:     &storeClient{store: c.store},
		upstreams: upstreams,
	}
	g.origins = c.newOrigins(number, g.store)
	pool := connection.NewPool()
	detours := c.newDetours(number, g)
	pool.Dial = detours.Dial
	pool.DialTimeout = detour.DialTimeout
	pool.Usable = detours.Usable
	pool.OnAnswer = detours.Answered
	g.gateway = &gateway.Server{
		Codec:  platform.Headers{},
		Routes: func() *route.Table { return table },
		Dispatcher: &dispatch.Dispatcher{
			Name:   fmt.Sprint(number),
			Region: "near",
			Table:  upstreams,
			Pool:   table.Pool,
			Nodes:  func() int { return siteNodes },
		},
		Connections: pool,
		ConfirmDown: detours.ConfirmDown,
		Origins:     g.origins,
		AskHolder:   c.askHolder(number),
		TellHolder:  c.tellHolder(number),
		RetryBudget: g.budget(),
		Phase:       func() drain.Phase { return drain.Serving },
		Memory:      memory.NewBudget(0),
		Metrics:     gateway.NewMetrics(),
		Logger:      zerolog.New(&c.log).Level(zerolog.WarnLevel),
	}
	listener := &pipeListener{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
	g.server = &http.Server{Handler: g.gateway}
	g.client = &http.Client{Transport: &http.Transport{DialContext: listener.dial}}
	go func() { _ = g.server.Serve(listener) }()
	t.Cleanup(func() {
		g.client.CloseIdleConnections()
		_ = g.server.Close()
		time.Sleep(time.Second) // checks of upstreams that have broken off an answer end
		pool.CloseIdle(time.Now().Add(time.Hour))
		g.origins.Stop(context.Background())
		time.Sleep(time.Minute)
	})
	return g
}

// askHolder returns how a node asks another one for a send to a limited upstream.
func (c *crashSite) askHolder(from int) gateway.AskHolder {
	return func(_ context.Context, permit dispatch.Permit) (ratelimit.Grant, error) {
		time.Sleep(peerDelay)
		number, err := strconv.Atoi(permit.Holder)
		if err == nil && !c.reaches(from, number, 0) {
			err = errRefused
		}
		if err != nil {
			return ratelimit.Grant{}, err
		}
		grant := c.node(number).gateway.Dispatcher.GrantPermit(permit.Report, permit.Place, time.Now())
		time.Sleep(peerDelay)
		return grant, nil
	}
}

// tellHolder returns how a node returns a place to the one that gave it.
func (c *crashSite) tellHolder(from int) func(permit dispatch.Permit, refused bool) {
	return func(permit dispatch.Permit, refused bool) {
		go func() {
			time.Sleep(peerDelay)
			if number, err := strconv.Atoi(permit.Holder); err == nil && c.reaches(from, number, 0) {
				c.node(number).gateway.Dispatcher.ReleasePermit(permit.Place.Upstream, permit.Ticket, refused, time.Now())
			}
		}()
	}
}

// rows returns the list of the engines.
func (c *crashSite) rows() (rows []wire.Machine) {
	for i := range c.engines {
		name := fmt.Sprintf("e%d", i)
		rows = append(rows, wire.Machine{
			Name:    name,
			Kind:    replica.KindService,
			Pool:    "s",
			Address: name,
			Region:  "near",
			Slots:   8,
			Version: c.versionOf(i),
		})
	}
	return rows
}

// versionOf returns the version of an engine by its number.
func (c *crashSite) versionOf(engine int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[engine%len(c.versions)]
}

// newOrigins returns what keeps the origins of streams for a node.
func (c *crashSite) newOrigins(number int, store *storeClient) *origins.Service {
	peer := func(name string) (*origins.Service, error) {
		time.Sleep(peerDelay)
		other, err := strconv.Atoi(name)
		if err == nil && !c.reaches(number, other, 0) {
			err = errRefused
		}
		if err != nil {
			return nil, err
		}
		return c.node(other).origins, nil
	}
	return &origins.Service{
		Name: fmt.Sprint(number),
		Nodes: func() (nodes []origin.Node) {
			for _, name := range c.live(number) {
				nodes = append(nodes, origin.Node{Name: name})
			}
			return nodes
		},
		Tell: func(_ context.Context, name string, reports []origin.Report) error {
			to, err := peer(name)
			if err == nil {
				to.Told(reports)
				time.Sleep(peerDelay)
			}
			return err
		},
		Versions: func() (map[string][]string, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return map[string][]string{"s": slices.Clone(c.versions)}, true
		},
		Timeouts:      c.table.ResumableTimeouts,
		VersionRecord: store.topic("versions"),
		StreamLog:     store.topic("origins"),
		Writer:        func() string { return rendezvous.Rank("readers", append(c.live(number), fmt.Sprint(number)))[0] },
		TellVersions: func(ctx context.Context, name string, entries []origin.Entry) error {
			to, err := peer(name)
			if err == nil {
				to.ToldVersions(ctx, entries)
			}
			return err
		},
		AskSighted: func(_ context.Context, name, pool string) (origin.Sighted, error) {
			from, err := peer(name)
			if err != nil {
				return origin.Sighted{}, err
			}
			return from.Sighted(pool), nil
		},
		Ask: func(_ context.Context, name string, stream origin.ID) (origin.Answer, error) {
			from, err := peer(name)
			if err != nil {
				return origin.Answer{}, err
			}
			answer := from.Known(stream)
			time.Sleep(peerDelay)
			return answer, nil
		},
	}
}

// newDetours returns how a node connects to the engines, directly or through the others.
func (c *crashSite) newDetours(number int, g *testGateway) *detour.Dialer {
	g.detours = &detour.Dialer{
		Direct: c.dialFrom(number),
		Nodes: func() (nodes []string) {
			for other := range siteNodes {
				name := fmt.Sprint(other)
				if other != number && c.reaches(number, other, noticeDelay) {
					nodes = append(nodes, name)
				}
			}
			return nodes
		},
		Through: func(ctx context.Context, node, address string) (net.Conn, reach.Opinion, error) {
			time.Sleep(peerDelay)
			other, err := strconv.Atoi(node)
			if err == nil && !c.reaches(number, other, 0) {
				err = errRefused
			}
			if err != nil {
				return nil, reach.None, err
			}
			server := c.node(other).detourServer
			ticket, opinion := server.Open(ctx, address)
			time.Sleep(peerDelay)
			if opinion != reach.Reached {
				return nil, opinion, nil
			}
			here, there := net.Pipe()
			go server.Serve(there)
			_, err = here.Write(ticket[:])
			return here, opinion, err
		},
		OnVerdict: func(address string, reached bool) { g.gateway.Dispatcher.ReachedElsewhere(address, reached) },
	}
	g.detourServer = &detour.Server{
		Dial:   c.dialFrom(number),
		Listed: func(string) bool { return true },
		Controls: func(address string) (others []string) {
			for i := range c.engines {
				if name := fmt.Sprintf("e%d", i); name != address {
					others = append(others, name)
				}
			}
			return others
		},
		OpenedLately: g.detours.OpenedLately,
		Broken:       g.detours.KnownBroken,
		Draining:     func() bool { return false },
	}
	return g.detours
}

// exchangeDigests sends each node's digest to all others, as nodes of a small site do.
func (c *crashSite) exchangeDigests(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		now := time.Now()
		for i := range siteNodes {
			c.node(i).origins.Tick(now)
			c.node(i).detours.Tick(now)
			from := c.node(i).gateway.Dispatcher
			from.Tick(c.live(i), siteNodes, now)
			digest := from.Advertise(now)
			for j := range siteNodes {
				if i != j && c.reaches(i, j, 0) {
					c.node(j).gateway.Dispatcher.ReceiveDigest(fmt.Sprint(i), digest, now)
				}
			}
		}
	}
}

// dialFrom returns how a node connects to the engines.
func (c *crashSite) dialFrom(number int) func(ctx context.Context, engine string) (net.Conn, error) {
	return func(ctx context.Context, engine string) (net.Conn, error) {
		c.mu.Lock()
		cut, partitioned := c.partitions[number]
		c.mu.Unlock()
		switch {
		case !partitioned:
			return c.dial(number, engine)
		case cut.refused:
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// partitionFromEngines cuts a node off from all engines.
func (c *crashSite) partitionFromEngines(number int, how partition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[number] = how
	if !how.halfOpen {
		for _, open := range c.conns {
			for conn, from := range open {
				if from == number {
					_ = conn.Close()
					delete(open, conn)
				}
			}
		}
	}
}

// healPartition ends the partition of a node from the engines.
func (c *crashSite) healPartition(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.partitions, number)
}

// healPartitions ends all partitions from the engines.
func (c *crashSite) healPartitions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.partitions)
}

// lockedLog holds the log lines of several nodes.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (c *crashSite) dial(number int, engine string) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downTill[engine]) {
		return nil, syscall.ECONNREFUSED
	}
	gatewaySide, engineSide := net.Pipe()
	if c.conns[engine] == nil {
		c.conns[engine] = map[net.Conn]int{}
	}
	c.conns[engine][engineSide] = number
	go c.serve(engine, engineSide)
	return gatewaySide, nil
}

func (c *crashSite) serve(engine string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("X-Test-Bad") != "" {
			c.mu.Lock()
			c.badSends = append(c.badSends, time.Now())
			c.mu.Unlock()
			if r.Header.Get("X-Test-Bad") != beforeHead {
				writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Transfer-Encoding: chunked\r\n\r\n")
			}
			time.Sleep(crashDelay)
			c.crash(engine)
			return
		}
		if !c.answer(engine, conn, r) {
			return
		}
	}
}

func (c *crashSite) crash(engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
	c.downTill[engine] = time.Now().Add(crashDowntime)
	for conn := range c.conns[engine] {
		_ = conn.Close()
	}
	delete(c.conns, engine)
}

// longStreamEvents is the number of events of a longStream.
const longStreamEvents = 20

// longStream streams the events after Last-Event-Id, which take 800 ms in all.
func longStream(conn net.Conn, r *http.Request) bool {
	writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Transfer-Encoding: chunked\r\n\r\n")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= longStreamEvents; i++ {
		time.Sleep(40 * time.Millisecond)
		if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))); err != nil {
			return false
		}
	}
	writeAnswer(conn, r, "0\r\n\r\n")
	return true
}

// call sends one request and returns the caller's answer.
func (c *crashSite) call(ctx context.Context, number int, shared string) callResult {
	c.mu.Lock()
	c.calls++
	id := fmt.Sprint("call-", c.calls) // each attempt of a caller has one of its own
	c.mu.Unlock()
	headers := map[string]string{
		"X-Lagoongw-Attempt-Id":    id,
		"X-Lagoongw-Prompt-Prefix": fmt.Sprintf(shared, 1000+number),
	}
	if shared == badPrompt {
		headers["X-Test-Bad"] = "1"
	}
	return c.node(number%siteNodes).call(ctx, "/resumable/x", "{}", headers)
}

// load sends requests at an interval until a time; answered is called with each answer and the time of the request.
func (c *crashSite) load(
	t *testing.T, shared string, every time.Duration, until time.Time, answered func(at time.Time, r callResult),
) {
	var group sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		at := time.Now()
		group.Go(func() {
			r := c.call(t.Context(), i, shared)
			c.mu.Lock()
			defer c.mu.Unlock()
			answered(at, r)
		})
		time.Sleep(every)
	}
	group.Wait()
}
