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
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoongw/platform"
)

// Peaks of the resident memory and unread bytes that are allowed.
const (
	limitMB = 112
	// idleKB is for a process without requests, allowedKB for a press of one kind, which leaves room for another one, and
	// togetherKB for all kinds at once.
	idleKB     = limitMB << 10 / 4
	allowedKB  = limitMB << 10 / 2
	togetherKB = limitMB << 10 * 3 / 4
)

// endlessPaths are the paths of requests whose answers don't end.
var endlessPaths = []string{"/x/head", "/x/body", "/e/event"}

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
	id := in.nextID()
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

func (in *installation) nextID() string { return fmt.Sprintf("request-%d", in.sent.Add(1)) }

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

// finish checks that the memory is below what is allowed, and that requests are served after the press.
func (in *installation) finish(allowedKB int64) {
	in.t.Helper()
	in.checkMemory(allowedKB)
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
	p.checkMemory(idleKB)
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
	in.finish(allowedKB)
}

// askForRoutes has the slow peers ask for the routes without reading the answers, until ctx is done.
func (in *installation) askForRoutes(ctx context.Context, group *sync.WaitGroup) {
	const callsEach = 10
	address := slowProxy(in.t, in.process.peers)
	for i := range slowPeerCount {
		client := newClient(in.t, peerName(i))
		for range callsEach {
			group.Go(func() { _ = fetchRoutes(ctx, client, address) })
		}
	}
}

// A process held a copy of all routes for each peer that asked for them and didn't read the answer.
func TestMemoryWhilePeersAskForRoutes(t *testing.T) {
	in := startInstallation(t, true)
	in.setRoutes(2)
	in.eventually("the routes are in force", func() bool { return in.routesVersion() == 2 })
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	in.askForRoutes(ctx, &group)
	const rounds = 3
	sound := newClient(t, peerName(peerCount-1))
	for range rounds {
		time.Sleep(time.Second)
		in.eventually("a sound peer gets the routes", func() bool { return fetchRoutes(ctx, sound, in.process.peers) == nil })
	}
	cancel()
	group.Wait()
	in.finish(allowedKB)
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
	in.finish(allowedKB)
}

// largeBody returns a body that can't be compressed.
func largeBody() []byte {
	const size = 1 << 20
	body := make([]byte, size)
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	return body
}

// The bodies of the requests in flight had a bound each, but none together.
func TestMemoryWhileLargeBodiesArrive(t *testing.T) {
	in := startInstallation(t, false)
	const requests = 200
	wait := in.sendAll(requests, "/x/held", largeBody())
	time.Sleep(pressTime)
	close(in.upstreams.release)
	t.Log("statuses", wait())
	in.finish(allowedKB)
}

// leaveUnread sends requests whose callers read nothing of the body of the answer until ctx is done.
func (in *installation) leaveUnread(ctx context.Context, group *sync.WaitGroup, requests int, path string) {
	for range requests {
		group.Go(func() {
			response, err := in.post(ctx, path, in.nextID(), []byte("short"))
			if err != nil {
				return
			}
			<-ctx.Done()
			_ = response.Body.Close()
		})
	}
}

// The heads, bodies and events of the upstreams' answers had a bound each, but none together.
func TestMemoryWhileAnswersDoNotEnd(t *testing.T) {
	for _, path := range endlessPaths {
		t.Run(path[3:], func(t *testing.T) {
			in := startInstallation(t, false)
			const requests = 60
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			in.leaveUnread(ctx, &group, requests, path)
			time.Sleep(pressTime)
			cancel()
			group.Wait()
			in.finish(allowedKB)
		})
	}
}

// keepConnections opens idle connections, and others with an incomplete head that is longer than the process reads. They
// stay open until the test ends.
func (in *installation) keepConnections(idle, incomplete int) {
	const headBytes = 200 << 10
	dial := func() net.Conn {
		conn, err := new(net.Dialer).DialContext(in.t.Context(), "tcp", in.callers)
		if err != nil {
			return nil
		}
		in.t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	var group sync.WaitGroup
	for range idle {
		group.Go(func() {
			conn := dial()
			if conn == nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "GET /x/ok HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: %s\r\n\r\n", in.nextID())
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
}

// Each connection of a caller held buffers for as long as it was open, and those with an incomplete head up to the
// largest size of a head.
func TestMemoryWhileCallersKeepConnections(t *testing.T) {
	in := startInstallation(t, false)
	const idle, incomplete = 600, 300
	in.keepConnections(idle, incomplete)
	time.Sleep(pressTime)
	in.finish(allowedKB)
}

// A process was killed over its limit while routes changed, peers asked for them and callers sent requests to slow
// upstreams, each of which has a bound of its own.
func TestMemoryOfAllTogether(t *testing.T) {
	in := startInstallation(t, true)
	const (
		versions        = 10
		versionInterval = 250 * time.Millisecond
		unread          = 20
		large           = 60
		idle            = 150
		incomplete      = 50
		lastVersion     = 1 + versions
	)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	in.setRoutes(2)
	in.keepConnections(idle, incomplete)
	in.askForRoutes(ctx, &group)
	wait := in.sendAll(large, "/x/held", largeBody())
	for _, path := range endlessPaths {
		in.leaveUnread(ctx, &group, unread, path)
	}
	for version := 3; version <= lastVersion; version++ {
		in.setRoutes(version)
		time.Sleep(versionInterval)
	}
	in.eventually("the last routes are in force", func() bool { return in.routesVersion() == lastVersion })
	close(in.upstreams.release)
	t.Log("statuses", wait())
	cancel()
	group.Wait()
	in.finish(togetherKB)
}
