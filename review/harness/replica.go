package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a replica to the store.
const heartbeat = 1200 * time.Millisecond

// replica stands in for one replica of a service. It serves one request at a time on a connection.
type replica struct {
	id      string
	service string
	// version is the version of the software and of the weights.
	version int
	address string
	slots   int
	born    int64
	journal *journal
	store   *store
	// serve runs a request and writes its answer; it returns false if the connection is to be closed.
	serve func(conn net.Conn, r *http.Request, body []byte) bool

	listener net.Listener

	mu    sync.Mutex
	seq   int
	state string
	// gone is set once the replica has left.
	gone  bool
	conns map[net.Conn]bool
	runs  map[string]int
}

// startReplica starts a replica that runs plain requests, and registers it.
func startReplica(s *store, j *journal, id, service string, slots int) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a listener of a short-lived stand-in
	if err != nil {
		return nil, err
	}
	r := newReplica(s, j, listener, id, service, slots)
	r.begin()
	return r, nil
}

// newReplica returns a replica on a listener that has not begun yet.
func newReplica(s *store, j *journal, listener net.Listener, id, service string, slots int) *replica {
	r := &replica{
		id:       id,
		service:  service,
		version:  1,
		address:  listener.Addr().String(),
		slots:    slots,
		born:     time.Now().UnixMilli(),
		journal:  j,
		store:    s,
		state:    "ready",
		listener: listener,
		conns:    map[net.Conn]bool{},
		runs:     map[string]int{},
	}
	r.serve = r.servePlain
	return r
}

// begin accepts connections and registers the replica.
func (r *replica) begin() {
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serveConnection(conn)
		}
	}()
	r.register()
	go func() {
		for range time.Tick(heartbeat) {
			if !r.register() {
				return
			}
		}
	}()
}

// register writes the replica's entry to the store, and returns false if the replica has left.
func (r *replica) register() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return false
	}
	r.seq++
	entry := fill(entryTemplate, map[string]any{
		"Service": r.service,
		"Version": r.version,
		"Address": r.address,
		"Zone":    "muscat-a",
		"Slots":   r.slots,
		"State":   r.state,
		"Born":    r.born,
		"Seq":     r.seq,
	})
	r.store.put(names["topic-servers"], r.id, entry)
	return true
}

const (
	// drainTime is the bound drain_ms of the deployment, and drainSlack how much longer a leaving replica serves.
	drainTime  = 3 * time.Second
	drainSlack = 500 * time.Millisecond
)

// leave drains the replica, and ends it after drainTime and drainSlack.
func (r *replica) leave() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.register()
	r.journal.note("replica %s is draining", r.id)
	time.Sleep(drainTime + drainSlack)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	r.store.put(names["topic-servers"], r.id, "")
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.journal.note("replica %s has left", r.id)
}

// keep notes an open connection, or that it was closed, and returns false if the replica has left.
func (r *replica) keep(conn net.Conn, open bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	if open {
		r.conns[conn] = true
	}
	return !r.gone
}

func (r *replica) serveConnection(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.keep(conn, false)
	}()
	if !r.keep(conn, true) {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.answer(conn, request, body) {
			return
		}
	}
}

func (r *replica) answer(conn net.Conn, request *http.Request, body []byte) bool {
	if request.URL.Path == names["call-health"] {
		return r.write(conn, "200 OK", names["instance"]+": "+r.id+"\r\n", "")
	}
	if expected := request.Header.Get(names["expect-instance"]); expected != "" && expected != r.id {
		return r.write(conn, "421 Misdirected Request", names["instance"]+": "+r.id+"\r\n", "")
	}
	return r.serve(conn, request, body)
}

// write writes a whole answer with a length.
func (r *replica) write(conn net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// run records that the replica begins to work on a request.
func (r *replica) run(request *http.Request) {
	id := request.Header.Get(names["attempt"])
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.journal.note("replica %s runs request %s (%s %s)", r.id, id, request.Method, request.URL.Path)
}

// runsOf returns how often the replica has run a request.
func (r *replica) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// signed returns the headers of an answer to a request that has run.
func (r *replica) signed(request *http.Request) string {
	id := request.Header.Get(names["attempt"])
	return fmt.Sprintf("%s: %s\r\n%s: %s.%s\r\n", names["attempt"], id, names["stamp"], r.id, id)
}

// plainWork is how long a plain request runs.
const plainWork = 30 * time.Millisecond

func (r *replica) servePlain(conn net.Conn, request *http.Request, _ []byte) bool {
	r.run(request)
	time.Sleep(plainWork)
	return r.write(conn, "200 OK", r.signed(request), "done "+request.Header.Get(names["attempt"]))
}
