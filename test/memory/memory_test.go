package memory

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoongw/platform"
)

const (
	seed = 20261204
	// pressTime is how long requests, answers and connections are held.
	pressTime = 2 * time.Second
)

// installation is a process among stand-ins.
type installation struct {
	*process
	store     *store
	peers     *peers
	upstreams *upstreams
	client    *http.Client
	// sent counts the requests, for their IDs.
	sent atomic.Int64
}

// startInstallation starts a process that is the first or the last reader of the store among peers.
func startInstallation(t *testing.T, reader bool) *installation {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := startStore(t)
	in := &installation{
		store:     s,
		upstreams: startUpstreams(t, s),
		peers:     startPeers(t),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}},
	}
	in.process = startProcess(t, processName(reader), s.address, nil)
	in.peers.announce(t, in.process)
	in.eventually("a request is served", func() bool { return in.send("/x/ok", nil) == http.StatusOK })
	t.Cleanup(in.client.CloseIdleConnections)
	return in
}

// post sends a request that is read no further than its header, unless it fails.
func (in *installation) post(ctx context.Context, path, id string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.callers+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = "h"
	r.Header.Set("X-Lagoongw-Attempt-Id", id)
	return in.client.Do(r)
}

// send sends a request and returns the status of its answer, 0 if there is none. A refusal of a request that reached an
// upstream fails the test.
func (in *installation) send(path string, body []byte) int {
	id := fmt.Sprintf("request-%d", in.sent.Add(1))
	response, err := in.post(in.t.Context(), path, id, body)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode == http.StatusServiceUnavailable && in.upstreams.reached(id) {
		in.t.Errorf("request to %s was refused, but it had reached an upstream", path)
	}
	return response.StatusCode
}

// sendAll sends requests all at once and adds up their statuses in the result when all are answered.
func (in *installation) sendAll(count int, path string, body []byte) (wait func() map[int]int) {
	statuses := make([]int, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { statuses[i] = in.send(path, body) })
	}
	return func() map[int]int {
		group.Wait()
		counts := map[int]int{}
		for _, status := range statuses {
			counts[status]++
		}
		return counts
	}
}

// finish checks the memory, and that requests are served after the press.
func (in *installation) finish() {
	in.t.Helper()
	in.checkMemory()
	const served = 20
	for range served {
		in.eventually("a request is served after the press", func() bool { return in.send("/x/ok", nil) == http.StatusOK })
	}
}

// setRoutes puts a version of the routes into the store.
func (in *installation) setRoutes(version int) {
	in.store.add(platform.TopicOperator, platform.ManifestKey, manifest(version, routesAtStart+routesAdded))
}

// The libraries of commands that no entry VM runs took nine of the 31 MB of a process without any requests.
func TestMemoryOfAnIdleProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	s := startStore(t)
	startUpstreams(t, s)
	p := startProcess(t, "vm-1", s.address, nil)
	p.checkMemory()
	const idleKB = limitMB << 10 / 4
	if peak := p.statusKB("VmHWM"); peak >= idleKB {
		t.Errorf("idle process with %d KB: expected less than %d KB, a quarter of the limit", peak, idleKB)
	}
}

// The memory of a reader of the store grew with each version of the routes, which it pushed to slow peers and which the
// requests in flight kept.
func TestMemoryWhileRoutesChange(t *testing.T) {
	in := startInstallation(t, true)
	const (
		versions        = 20
		versionInterval = 250 * time.Millisecond
		requestsEach    = 4
	)
	var waits []func() map[int]int
	for version := 2; version < 2+versions; version++ {
		in.setRoutes(version)
		time.Sleep(versionInterval)
		waits = append(waits, in.sendAll(requestsEach, "/x/held", []byte("short")))
	}
	in.eventually("the last routes are in force", func() bool { return in.routesVersion() == 1+versions })
	close(in.upstreams.release)
	for _, wait := range waits {
		t.Log("statuses", wait())
	}
	in.finish()
}

// A process held a copy of all routes for each peer that asked for them and didn't read the answer.
func TestMemoryWhilePeersAskForRoutes(t *testing.T) {
	in := startInstallation(t, true)
	in.setRoutes(2)
	in.eventually("the routes are in force", func() bool { return in.routesVersion() == 2 })
	const callsEach = 10
	address := slowProxy(t, in.process.peers)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range slowPeerCount {
		client := newClient(t, peerName(i))
		for range callsEach {
			group.Go(func() { _ = fetchRoutes(ctx, client, address) })
		}
	}
	const rounds = 3
	sound := newClient(t, peerName(peerCount-1))
	for range rounds {
		time.Sleep(time.Second)
		in.eventually("a sound peer gets the routes", func() bool { return fetchRoutes(ctx, sound, in.process.peers) == nil })
	}
	cancel()
	group.Wait()
	in.finish()
}

// A process fetched all routes from each of the peers whose digest told of newer ones, all at once.
func TestMemoryWhilePeersTellOfNewerRoutes(t *testing.T) {
	in := startInstallation(t, false)
	const (
		versions        = 12
		versionInterval = 250 * time.Millisecond
	)
	for version := 2; version < 2+versions; version++ {
		in.peers.routes.Store(int64(version))
		in.peers.announce(t, in.process)
		time.Sleep(versionInterval)
	}
	in.eventually("the last routes are in force", func() bool {
		in.peers.announce(t, in.process)
		time.Sleep(versionInterval)
		return in.routesVersion() == 1+versions
	})
	in.finish()
}

// The bodies of the requests in flight had a bound each, but none together.
func TestMemoryWhileLargeBodiesArrive(t *testing.T) {
	in := startInstallation(t, false)
	const (
		requests = 200
		bytes    = 1 << 20
	)
	body := make([]byte, bytes)
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	wait := in.sendAll(requests, "/x/held", body)
	time.Sleep(pressTime)
	close(in.upstreams.release)
	t.Log("statuses", wait())
	in.finish()
}

// The heads, bodies and events of the upstreams' answers had a bound each, but none together.
func TestMemoryWhileAnswersDoNotEnd(t *testing.T) {
	for _, path := range []string{"/x/head", "/x/body", "/e/event"} {
		t.Run(path[3:], func(t *testing.T) {
			in := startInstallation(t, false)
			const requests = 60
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			for i := range requests {
				group.Go(func() {
					response, err := in.post(ctx, path, strconv.Itoa(i), []byte("short"))
					if err != nil {
						return
					}
					<-ctx.Done() // the caller reads nothing of the body
					_ = response.Body.Close()
				})
			}
			time.Sleep(pressTime)
			cancel()
			group.Wait()
			in.finish()
		})
	}
}

// Each connection of a caller held buffers for as long as it was open, and those with an incomplete head up to the
// largest size of a head.
func TestMemoryWhileCallersKeepConnections(t *testing.T) {
	in := startInstallation(t, false)
	const (
		idle       = 600
		incomplete = 300
		headBytes  = 200 << 10
	)
	dial := func() net.Conn {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", in.callers)
		if err != nil {
			return nil
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	var group sync.WaitGroup
	for i := range idle {
		group.Go(func() {
			conn := dial()
			if conn == nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "GET /x/ok HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: %d\r\n\r\n", i)
			if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
	for range incomplete {
		group.Go(func() {
			if conn := dial(); conn != nil {
				_, _ = fmt.Fprintf(conn, "GET /x/ok HTTP/1.1\r\nHost: h\r\nX-Fill: %s", bytes.Repeat([]byte("a"), headBytes))
			}
		})
	}
	group.Wait()
	time.Sleep(pressTime)
	in.finish()
}
