package stops

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lagoongw/test/site"
)

// run is the time in which an upstream worked on a request.
type run struct {
	upstream   string
	begin, end time.Time
	// sound reports that the upstream did not break the answer off itself.
	sound bool
}

// upstreams are the upstreams of a site, which note each run.
type upstreams struct {
	store *site.Store
	// faulty reports whether they break off, refuse, hold and copy some answers.
	faulty bool
	// slow reports whether each run takes the longest time.
	slow bool

	mu   sync.Mutex
	runs map[string][]*run
	// refused holds the requests that an upstream has turned away.
	refused map[string]bool
	// arrivals are the requests that have reached the upstreams, in their order.
	arrivals []arrival
	all      []*upstream
}

// fault is what an upstream does instead of a sound answer.
type fault int

const (
	sound fault = iota
	refuses
	resets
	holds
	stopsInHead
	stopsInBody
	answersTwice
	// fails answers a request that goes on with a stream with an error.
	fails
	faults
)

// upstream serves the requests of one pool.
type upstream struct {
	*upstreams
	name, pool string

	mu     sync.Mutex
	random *rand.Rand
	// silentUntil, guarded by the lock of upstreams, is when the upstream reads and writes again.
	silentUntil time.Time
}

// start starts an upstream and registers it.
func (u *upstreams) start(t *testing.T, name, pool string, seed uint64) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &upstream{
		upstreams: u,
		name:      name,
		pool:      pool,
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
	u.all = append(u.all, server)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	u.store.Put("keyed.servers", name, fmt.Sprintf(
		`{"service":"%s","address":"%s","zone":"a","slots":64,"state":"ready","version":"v1","born":1}`, pool, listener.Addr()))
}

// draw returns a random duration up to a longest one, and the fault of the next answer.
func (u *upstream) draw(longest time.Duration) (time.Duration, fault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	kind := sound
	if u.faulty && u.random.IntN(8) == 0 {
		kind = fault(u.random.IntN(int(faults)))
	}
	wait := time.Duration(u.random.Int64N(int64(longest)))
	if u.slow {
		wait = longest
	}
	return wait, kind
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.await()
		u.arrive(r.Header.Get("X-Lagoongw-Attempt-Id"))
		if !u.answer(halfClosable{Conn: conn, reader: reader}, r) {
			return
		}
	}
}

// halfClosable is a connection whose other side may say that it will send no more, and then still waits for an answer.
type halfClosable struct {
	net.Conn
	reader *bufio.Reader
}

// work takes a time, unless the connection is reset meanwhile.
func (c halfClosable) work(length time.Duration) error {
	end := time.Now().Add(length)
	_ = c.SetReadDeadline(end)
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := c.reader.Peek(1)
	if errors.Is(err, syscall.ECONNRESET) {
		return err
	}
	time.Sleep(time.Until(end))
	return nil
}

// answer answers a request, and reports whether the connection is kept.
func (u *upstream) answer(conn halfClosable, r *http.Request) (keep bool) {
	id := r.Header.Get("X-Lagoongw-Attempt-Id")
	head := "X-Lagoongw-Attempt-Id: " + id + "\r\n"
	if r.Header.Get("X-Lagoongw-Expect-Instance") != u.name {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 X\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	wait, kind := u.draw(longestRun)
	refusal := fmt.Sprintf("HTTP/1.1 503 X\r\n%sX-Lagoongw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
	if kind == refuses {
		u.upstreams.mu.Lock()
		u.refused[id] = true
		u.upstreams.mu.Unlock()
		_, err := io.WriteString(conn, refusal)
		return err == nil
	}
	done := u.begin(id, kind)
	defer func() { done(keep) }()
	head += "X-Lagoongw-Response-Stamp: s\r\n"
	if u.pool == poolModels {
		return u.stream(conn, r, head, kind)
	}
	if kind == holds {
		wait = longestHold
	}
	if err := conn.work(wait); err != nil {
		return false
	}
	body := "done " + id
	whole := fmt.Sprintf("HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch kind {
	case resets:
		return false
	case stopsInHead:
		_, _ = io.WriteString(conn, whole[:len(whole)/2])
		return false
	case stopsInBody:
		_, _ = io.WriteString(conn, whole[:len(whole)-3])
		return false
	case answersTwice:
		whole += refusal
	}
	_, err := io.WriteString(conn, whole)
	return err == nil
}

// stream streams the events after the one that the request names.
func (u *upstream) stream(conn halfClosable, r *http.Request, head string, kind fault) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if kind == fails && after > 0 {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 404 X\r\n%sContent-Length: 2\r\n\r\nno", head)
		return err == nil
	}
	count := events(r)
	if kind == holds && conn.work(longestHold) != nil {
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 X\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head)
	for event := after + 1; event <= count && err == nil; event++ {
		time.Sleep(eventPause)
		u.await()
		text := fmt.Sprintf("id: %d\ndata: %d of %s\n\n", event, event, r.Header.Get("X-Stream"))
		if event == after+2 && (kind == resets || kind == stopsInBody) {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(text), text[:5])
			return false
		}
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

// events returns the number of events of the stream that a request asks for.
func events(r *http.Request) int {
	count, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("X-Events")))
	return count
}

// begin notes that a run begins; the result notes its end, and whether the whole answer was written.
func (u *upstream) begin(id string, kind fault) (done func(whole bool)) {
	noted := &run{
		upstream: u.name,
		begin:    time.Now(),
		sound:    kind == sound || kind == answersTwice || kind == holds,
	}
	u.upstreams.mu.Lock()
	defer u.upstreams.mu.Unlock()
	u.runs[id] = append(u.runs[id], noted)
	return func(bool) {
		u.upstreams.mu.Lock()
		defer u.upstreams.mu.Unlock()
		noted.end = time.Now()
	}
}

// wasRefused reports whether an upstream has turned a request away.
func (u *upstreams) wasRefused(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refused[id]
}

// runsOf returns copies of the runs of a request.
func (u *upstreams) runsOf(id string) (runs []run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.runs[id] {
		runs = append(runs, *r)
	}
	return runs
}
