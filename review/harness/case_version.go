package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// updateTime is how long the replicas are updated, and updateStep the time between two of them.
	updateTime = 60 * time.Second
	updateStep = time.Second
	// updatePause is the time between two updates of all replicas, and downTime how long a replica is down.
	updatePause = 5 * time.Second
	downTime    = 300 * time.Millisecond
	// streamsAtOnce is the number of consumers, each of which asks for one stream after another.
	streamsAtOnce  = 12
	eventsOfAdvice = 60
)

// engine is a replica of the model service that is updated in place: it ends and starts again under its ID, at its address, with
// a newer version.
type engine struct {
	*replica
}

// startEngine starts the replica on a listener with a version.
func startEngine(s *site, listener net.Listener, id string, version int) *engine {
	e := &engine{replica: newReplica(s.store, s.journal, listener, id, poolEngines, 64)}
	e.version = version
	e.serve = e.serveStream
	e.begin()
	return e
}

// update ends the replica, and starts it again with a version.
func (e *engine) update(s *site, version int) (*engine, error) {
	e.mu.Lock()
	e.gone = true
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.mu.Unlock()
	time.Sleep(downTime)
	listener, err := net.Listen("tcp", e.address) //nolint:noctx // a listener of a short-lived stand-in
	if err != nil {
		return nil, err
	}
	next := startEngine(s, listener, e.id, version)
	s.journal.note("replica %s has started again with version %d", e.id, next.version)
	return next, nil
}

// serveStream streams the events after the last one that the request names; each names the version that made it.
func (e *engine) serveStream(conn net.Conn, request *http.Request, _ []byte) bool {
	if expected := request.Header.Get(names["expect-weights"]); expected != "" && expected != strconv.Itoa(e.version) {
		return e.write(conn, "421 Misdirected Request", names["instance"]+": "+e.id+"\r\n", "")
	}
	e.run(request)
	first, _ := strconv.Atoi(request.Header.Get(names["last-event"]))
	if first > 0 {
		e.journal.note("replica %s, version %d, goes on with request %s after event %d", e.id, e.version,
			request.Header.Get(names["attempt"]), first)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		e.signed(request), names["weights"], e.version)
	for id := first + 1; id <= eventsOfAdvice && err == nil; id++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: v%d\n\n", id, e.version)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

// playNewVersion updates the replicas of the model service in place, one after the other. The rule is ORDER: a stream does not go
// on with the events of another version. Without the disruption the replicas start again with the version that they had.
func playNewVersion(j *journal, s *site, trouble bool) (held bool, err error) {
	var engines []*engine
	for _, id := range []string{"i-fc002de0", "i-7f3a91c2", "i-02d9e6b4"} {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))) //nolint:noctx // a stand-in's
		if err != nil {
			return false, err
		}
		engines = append(engines, startEngine(s, listener, id, 1))
	}
	if err := s.startNodes(); err != nil {
		return false, err
	}
	end := time.Now().Add(updateTime)
	result := make(chan bool)
	go func() { result <- askAdvice(j, s, end) }()
	for time.Now().Before(end) {
		time.Sleep(updatePause + rand.N(updateStep))
		version := engines[0].version
		if trouble {
			version++
		}
		for i := range engines {
			if engines[i], err = engines[i].update(s, version); err != nil {
				return false, err
			}
			time.Sleep(updateStep - downTime)
		}
	}
	return <-result, nil
}

// askAdvice asks for streams until a time, and reports whether all events of each came from one version.
func askAdvice(j *journal, s *site, end time.Time) (held bool) {
	held = true
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range streamsAtOnce {
		group.Go(func() {
			for time.Now().Before(end) {
				c, err := connect(j, s.nodes[i%len(s.nodes)])
				if err != nil {
					continue
				}
				r := quote()
				got := c.ask(r)
				c.close()
				if versions := versionsOf(got.body); len(versions) > 1 {
					j.note("request %s: status %d, stamp %q: the answer joins events of %s", r.id, got.status, got.stamp,
						strings.Join(versions, " and "))
					mu.Lock()
					held = false
					mu.Unlock()
				}
				time.Sleep(rand.N(requestPause))
			}
		})
	}
	group.Wait()
	return held
}

// versionsOf returns the versions that made the events of a stream, in their order.
func versionsOf(body string) (versions []string) {
	for line := range strings.Lines(body) {
		version, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if found && (len(versions) == 0 || versions[len(versions)-1] != version) {
			versions = append(versions, version)
		}
	}
	return versions
}
