package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two entries of a replica in the store.
	heartbeat = 1200 * time.Millisecond
	// eventPause is the time between two events of a stream.
	eventPause = 100 * time.Millisecond
	// shortPath is the path of streams of shortEvents events.
	shortPath   = "/quote/short"
	shortEvents = 2
	// weights is the version of the weights, which all versions of the software have in common.
	weights = "1"
)

// Spec describes a replica.
type Spec struct {
	// Service and Version are what its entry says of it.
	Service, Version string
	// Work is how long a plain request takes, and Events how many events a stream has.
	Work   time.Duration
	Events int
	// Foreign replicas don't register themselves.
	Foreign bool
}

// Replica stands in for a replica of a service. It registers itself in the store under its name and runs what it is sent.
type Replica struct {
	Spec
	Name string

	store   *Store
	journal *Journal

	mu       sync.Mutex
	address  string
	born     int64
	state    string
	seq      int
	server   *http.Server
	conns    map[net.Conn]bool
	silenced chan struct{}
	// active is the number of requests that run, and made the largest number of events of a stream since the start.
	active, made int
}

// States of an entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// Start starts the replica, on its former address if it had one, and registers it.
func (r *Replica) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address) //nolint:noctx // it is closed with the server
	if err != nil {
		return err
	}
	r.address = listener.Addr().String()
	r.born = time.Now().UnixMilli()
	r.state, r.seq = stateReady, 0
	r.made = 0
	r.conns = map[net.Conn]bool{}
	version := r.Version
	r.server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, version) }),
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         r.track,
	}
	server := r.server
	go func() { _ = server.Serve(listener) }()
	r.silenced = make(chan struct{})
	if !r.Foreign {
		go r.beat(r.silenced)
	}
	r.journal.Note("replica %s starts, version %s", r.Name, r.Version)
	return nil
}

func (r *Replica) track(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateClosed {
		delete(r.conns, conn)
		return
	}
	r.conns[conn] = true
}

// beat writes the entry until the replica is silenced.
func (r *Replica) beat(silenced chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-silenced:
			return
		default:
			r.register()
		}
		select {
		case <-silenced:
			return
		case <-ticker.C:
		}
	}
}

// register writes the entry, and reports whether the store has accepted it.
func (r *Replica) register() bool {
	r.mu.Lock()
	r.seq++
	entry, _ := json.Marshal(map[string]any{
		"service":      r.Service,
		"address":      r.address,
		"zone":         "muscat-a",
		"version":      r.Version,
		"slots":        64,
		"state":        r.state,
		"cold_left_ms": 0,
		"seq":          r.seq,
		"born":         r.born,
	})
	r.mu.Unlock()
	return r.store.Put(names["topic-replicas"], record{
		key:   r.Name,
		value: string(entry),
	})
}

// Drain reports that the replica is leaving, and returns when the store has accepted that.
func (r *Replica) Drain() time.Time {
	r.mu.Lock()
	r.state = stateDraining
	r.mu.Unlock()
	for !r.register() {
		time.Sleep(readyPoll)
	}
	r.journal.Note("replica %s reports that it is draining; the store has accepted it", r.Name)
	return time.Now()
}

// silence ends the heartbeats.
func (r *Replica) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silenced != nil {
		close(r.silenced)
		r.silenced = nil
	}
}

// RemoveEntry removes the entry of a replica that leaves without reporting that it drains, and returns when the store has accepted
// that.
func (r *Replica) RemoveEntry() time.Time {
	r.silence()
	for !r.store.Put(names["topic-replicas"], record{key: r.Name}) {
		time.Sleep(readyPoll)
	}
	r.journal.Note("entry of replica %s is removed; the store has accepted it", r.Name)
	return time.Now()
}

// Exit ends the replica, which resets its connections.
func (r *Replica) Exit() {
	r.silence()
	r.mu.Lock()
	server := r.server
	for conn := range r.conns {
		if socket, ok := conn.(*net.TCPConn); ok {
			_ = socket.SetLinger(0)
		}
	}
	r.mu.Unlock()
	_ = server.Close()
	r.journal.Note("replica %s ends", r.Name)
}

// serve runs one request.
func (r *Replica) serve(w http.ResponseWriter, q *http.Request, version string) {
	w.Header().Set(names["instance-id"], r.Name)
	if q.URL.Path == "/healthz" {
		return
	}
	id := q.Header.Get(names["attempt"])
	w.Header().Set(names["attempt"], id)
	if expected := q.Header.Get(names["instance"]); expected != "" && expected != r.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := q.Header.Get(names["expect-weights"]); expected != "" && expected != weights {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	r.journal.Ran(id, r.Name, version, q.Header.Get(names["last-event"]))
	r.addActive(1)
	defer r.addActive(-1)
	w.Header().Set(names["stamp"], r.Name+"."+id)
	if r.Events > 0 {
		r.stream(w, q, version)
		return
	}
	select {
	case <-time.After(r.Work):
	case <-q.Context().Done():
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}

// stream writes the events after the one that the request names.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request, version string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(names["weights"], weights)
	after, _ := strconv.Atoi(q.Header.Get(names["last-event"]))
	control := http.NewResponseController(w)
	events := r.Events
	if q.URL.Path == shortPath {
		events = min(events, shortEvents)
	}
	for i := after + 1; i <= events; i++ {
		select {
		case <-time.After(eventPause):
		case <-q.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s word %d\n\n", i, version, i)
		_ = control.Flush()
		r.mu.Lock()
		r.made = max(r.made, i-after)
		r.mu.Unlock()
	}
}

func (r *Replica) addActive(requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active += requests
}

// Await waits until the replica runs nothing, or until a stream has made some events since its start if made is set, for
// some time at most.
func (r *Replica) Await(made int, within time.Duration) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		reached := made > 0 && r.made >= made || made == 0 && r.active == 0
		r.mu.Unlock()
		if reached {
			return
		}
	}
}
