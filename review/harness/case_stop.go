package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// eventsOfQuote and eventPause give a stream of 6.4 s: the largest number of events of a quote on the sheet, with pauses far
	// below the 600 ms that the sheet allows.
	eventsOfQuote = 160
	eventPause    = 40 * time.Millisecond
	// sentAfter is the time from SIGTERM to the first stream; requests that are sent later than 3 s after it have no excuse.
	sentAfter    = 3050 * time.Millisecond
	streamsAtEnd = 5
	streamStep   = 20 * time.Millisecond
	excusedUntil = 3 * time.Second
	gracePeriod  = 8 * time.Second
)

// serveQuote streams the events of a quote after the last one that the request names.
func serveQuote(r *replica) func(conn net.Conn, request *http.Request, body []byte) bool {
	return func(conn net.Conn, request *http.Request, _ []byte) bool {
		r.run(request)
		first, _ := strconv.Atoi(request.Header.Get(names["last-event"]))
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.signed(request))
		for id := first + 1; id <= eventsOfQuote && err == nil; id++ {
			time.Sleep(eventPause)
			event := fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", id, id, request.Header.Get(names["attempt"]))
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if err == nil {
			_, err = io.WriteString(conn, "0\r\n\r\n")
		}
		id := request.Header.Get(names["attempt"])
		if err != nil {
			r.journal.note("replica %s finds the connection of request %s closed", r.id, id)
			return false
		}
		r.journal.note("replica %s has finished request %s", r.id, id)
		return true
	}
}

// quote returns a request for a stream.
func quote() request {
	return request{
		id:     newID(),
		method: http.MethodPost,
		path:   pathQuote + "2f",
		header: names["model"] + ": m\r\n" + names["tokens"] + ": 1460,480\r\n" +
			names["prompt"] + ": 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
		body:    strings.Repeat("x", 2000),
		limitMS: quoteLimit,
	}
}

// playStop sends SIGTERM to one of three entry VMs, and streams to it a little later than 3 s after that, on connections that
// were open. The rule is LOST: such a request is refused, or its answer is complete.
func playStop(j *journal, s *site, trouble bool) (held bool, err error) {
	engines := map[string]*replica{}
	for _, id := range []string{"i-fc002de0", "i-7f3a91c2"} {
		r, err := startReplica(s.store, j, id, poolEngines, 64)
		if err != nil {
			return false, err
		}
		r.serve = serveQuote(r)
		engines[id] = r
	}
	if _, err := startReplica(s.store, j, "i-0bd818ce", poolOrders, 6); err != nil {
		return false, err
	}
	if err := s.startNodes(); err != nil {
		return false, err
	}
	stopped := s.nodes[0]
	consumers, err := openConsumers(j, stopped)
	if err != nil {
		return false, err
	}
	began := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
		j.note("SIGTERM to %s", stopped.Name)
		go func() {
			select {
			case <-stopped.ended:
				j.note("%s has ended", stopped.Name)
			case <-time.After(gracePeriod):
				stopped.signal(syscall.SIGKILL)
			}
		}()
	}
	time.Sleep(time.Until(began.Add(sentAfter)))
	return sendQuotes(j, consumers, began), nil
}

// openConsumers opens connections and sends a request on each, after which the connection is kept.
func openConsumers(j *journal, n *node) (consumers []*consumer, err error) {
	for range streamsAtEnd {
		c, err := connect(j, n)
		if err != nil {
			return nil, err
		}
		if got := c.ask(status()); got.status != http.StatusOK {
			return nil, fmt.Errorf("a request before the disruption was answered %d: %w", got.status, got.failure)
		}
		consumers = append(consumers, c)
	}
	return consumers, nil
}

// sendQuotes sends a stream on each connection, and reports whether none was lost.
func sendQuotes(j *journal, consumers []*consumer, began time.Time) (held bool) {
	held = true
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, c := range consumers {
		group.Go(func() {
			time.Sleep(time.Duration(i) * streamStep)
			r := quote()
			if c.send(r) != nil {
				return // the connection was closed before
			}
			sent := time.Since(began)
			got := c.receive(r)
			c.close()
			// The connection of a request that has begun to be answered was read whole and passed on.
			lost := got.status == http.StatusOK && !got.whole && time.Since(began) < sent+quoteLimit*time.Millisecond
			if lost && sent > excusedUntil {
				j.note("request %s was sent %.3f s after the signal and its answer broke off %.3f s after it: lost", r.id,
					sent.Seconds(), time.Since(began).Seconds())
				mu.Lock()
				held = false
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return held
}
