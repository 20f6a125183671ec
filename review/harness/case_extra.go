package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// loadTime is how long the consumers send, and consumersAtOnce how many of them do, one request a second each: the traffic
	// of the sheet in a burst.
	loadTime        = 45 * time.Second
	consumersAtOnce = 34
	askInterval     = time.Second
	// troublePeriod is the time from one disruption to the next, each of which takes troubleTime.
	troublePeriod = 6 * time.Second
	troubleTime   = 5 * time.Second
	// extraShare is the share of its answers to which a faulty replica adds bytes.
	extraShare = 0.03
)

// desk is a replica of the orders service. If it is faulty, it adds to some of its answers bytes that arrive late: before the
// answer to the next request on the connection.
type desk struct {
	*replica
	started time.Time
	faulty  bool

	mu      sync.Mutex
	answers int
	extras  int
	// owed holds the connections on which additional bytes are still to come.
	owed map[net.Conn]bool
}

func startDesk(s *site, id string, faulty bool) (*desk, error) {
	r, err := startReplica(s.store, s.journal, id, poolOrders, 6)
	if err != nil {
		return nil, err
	}
	d := &desk{
		replica: r,
		started: time.Now(),
		faulty:  faulty,
		owed:    map[net.Conn]bool{},
	}
	r.serve = d.serveOrder
	return d, nil
}

// sendExtra sends the additional bytes: a refusal that names no request.
func (d *desk) sendExtra(conn net.Conn) bool {
	return d.write(conn, "503 Service Unavailable", names["not-executed"]+": 1\r\n", "")
}

func (d *desk) serveOrder(conn net.Conn, r *http.Request, body []byte) bool {
	if d.owes(conn) {
		d.journal.note("replica %s sends additional bytes, late, before the answer to request %s", d.id, r.Header.Get(names["attempt"]))
		if !d.sendExtra(conn) {
			return false
		}
	}
	whole := d.servePlain(conn, r, body)
	d.answered(conn)
	return whole
}

// owes reports whether additional bytes come before the next answer on a connection.
func (d *desk) owes(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	owed := d.owed[conn]
	delete(d.owed, conn)
	return owed
}

// answered counts an answer, and decides whether additional bytes follow it.
func (d *desk) answered(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.started)%troublePeriod < troublePeriod-troubleTime {
		return
	}
	d.answers++
	if d.faulty && float64(d.extras+1) <= extraShare*float64(d.answers) {
		d.extras++
		d.owed[conn] = true
	}
}

// playExtra has two of three replicas send additional bytes after some of their answers. The rule is TWICE: a request that isn't
// idempotent does not run more than once.
func playExtra(j *journal, s *site, trouble bool) (held bool, err error) {
	var desks []*desk
	for i, id := range []string{"i-0bd818ce", "i-4c1f07e2", "i-aace57a9"} {
		d, err := startDesk(s, id, trouble && i < 2)
		if err != nil {
			return false, err
		}
		desks = append(desks, d)
	}
	if err := s.startNodes(); err != nil {
		return false, err
	}
	ids, refused := sendOrders(j, s)
	time.Sleep(time.Second)
	held = true
	for _, id := range ids {
		runs := 0
		for _, d := range desks {
			runs += d.runsOf(id)
		}
		if runs > 1 {
			j.note("booking %s has run %d times", id, runs)
			held = false
		}
		if refused[id] && runs > 0 {
			j.note("booking %s was answered that it has not run, and has (this breaks REFUSED)", id)
		}
	}
	for _, d := range desks {
		j.note("replica %s: %d answers during the disruptions, additional bytes after %d of them", d.id, d.answers, d.extras)
	}
	j.note("%d bookings sent", len(ids))
	return held, nil
}

// sendOrders sends bookings and status checks from many consumers, each of which keeps its connection, and returns the IDs of the
// bookings, and which of them were refused as not run.
func sendOrders(j *journal, s *site) (ids []string, refused map[string]bool) {
	refused = map[string]bool{}
	var mu sync.Mutex
	var group sync.WaitGroup
	end := time.Now().Add(loadTime)
	for i := range consumersAtOnce {
		group.Go(func() {
			time.Sleep(rand.N(askInterval))
			u := user{
				journal: j,
				node:    s.nodes[i%len(s.nodes)],
			}
			defer u.leave()
			for time.Now().Before(end) {
				r := status()
				books := rand.IntN(2) == 0
				if books {
					r = booking()
				}
				got := u.ask(r)
				if books {
					mu.Lock()
					ids = append(ids, r.id)
					refused[r.id] = got.status == http.StatusServiceUnavailable
					mu.Unlock()
				}
				time.Sleep(askInterval/2 + rand.N(askInterval))
			}
		})
	}
	group.Wait()
	return ids, refused
}

// user is a consumer that opens a new connection when it has lost the one before.
type user struct {
	journal  *journal
	node     *node
	consumer *consumer
}

func (u *user) ask(r request) answer {
	if u.consumer == nil {
		c, err := connect(u.journal, u.node)
		if err != nil {
			return answer{failure: err}
		}
		u.consumer = c
	}
	got := u.consumer.ask(r)
	if got.failure != nil || got.closes {
		u.leave()
	}
	return got
}

func (u *user) leave() {
	if u.consumer != nil {
		u.consumer.close()
		u.consumer = nil
	}
}
