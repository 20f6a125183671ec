package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/reach"
	"lagoongw/internal/transport/detour"
)

// detourThrough makes a gateway reach its upstreams through another node alone, which takes a while to connect. The node between
// breaks off the first connections once so many bytes of the upstream have passed.
func (g *testGateway) detourThrough(connect time.Duration, breaks int, after int64) {
	between := &detour.Server{
		Dial:         g.dial,
		Listed:       func(string) bool { return true },
		Controls:     func(string) []string { return nil },
		OpenedLately: func() bool { return false },
		Broken:       func(string) bool { return false },
		Draining:     func() bool { return false },
	}
	var opened atomic.Int64
	dialer := &detour.Dialer{
		Direct: func(context.Context, string) (net.Conn, error) { return nil, errRefused },
		Nodes:  func() []string { return []string{"vm-2"} },
		Through: func(ctx context.Context, _, address string) (net.Conn, reach.Opinion, error) {
			time.Sleep(connect)
			ticket, opinion := between.Open(ctx, address)
			if opinion != reach.Reached {
				return nil, opinion, nil
			}
			here, there := net.Pipe()
			nodeSide, serverSide := net.Pipe()
			go between.Serve(serverSide)
			breakOff := opened.Add(1) <= int64(breaks)
			go func() { _, _ = io.Copy(nodeSide, there); _ = nodeSide.Close() }()
			go func() {
				if breakOff {
					_, _ = io.CopyN(there, nodeSide, after)
				} else {
					_, _ = io.Copy(there, nodeSide)
				}
				_, _ = there.Close(), nodeSide.Close()
			}()
			_, err := here.Write(ticket[:])
			return here, reach.Reached, err
		},
	}
	g.gateway.Connections.Dial = dialer.Dial
	g.gateway.Connections.DialTimeout = detour.DialTimeout
	g.gateway.Connections.Usable = dialer.Usable
	g.gateway.ConfirmDown = dialer.ConfirmDown
}

// TestRequestsThroughAnotherNodeKeepTheirPromises guards against a request that runs twice, or an answer that is passed on
// though it broke off, because another node stands between.
func TestRequestsThroughAnotherNodeKeepTheirPromises(t *testing.T) {
	for name, c := range map[string]struct {
		script script
		path   string
		breaks int
		after  int64
		status int
		whole  bool
		runs   int
	}{
		"all goes well": {
			script: answer(http.StatusOK, "good"),
			path:   "/unsafe/x",
			status: http.StatusOK,
			whole:  true,
			runs:   1,
		},
		"answer without a length": {
			script: rawAnswer(unframed),
			path:   "/unsafe/x",
			status: http.StatusOK,
			whole:  true,
			runs:   1,
		},
		"unsafe, node between stops before the answer": {
			script: answer(http.StatusOK, "good"),
			path:   "/unsafe/x",
			breaks: 9,
			after:  1,
			status: http.StatusBadGateway,
			whole:  true,
			runs:   1,
		},
		"unsafe, node between stops in an answer without a length": {
			script: rawAnswer(unframed),
			path:   "/unsafe/x",
			breaks: 9,
			after:  int64(len(unframed) - 2),
			status: http.StatusBadGateway,
			whole:  true,
			runs:   1,
		},
		"resumable, node between stops in the stream": {
			script: eventStream(0),
			path:   "/resumable/x",
			breaks: 1,
			after:  240,
			status: http.StatusOK,
			whole:  true,
			runs:   2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": c.script,
					"u2": c.script,
				})
				g.detourThrough(10*time.Millisecond, c.breaks, c.after)
				got := g.call(t.Context(), c.path, "body", nil)
				is.Equal(got.status, c.status)
				is.Equal(got.whole, c.whole)
				is.Equal(len(g.receivedRequests()), c.runs)
				if c.runs > 1 {
					is.Equal(got.body, eventText(streamEvents))
				}
			})
		})
	}
}

// TestTimeLeftIsThatAfterTheDetour guards against upstreams that are handed the time that the connect through another node has
// taken.
func TestTimeLeftIsThatAfterTheDetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var left atomic.Int64
		g := newTestGateway(t, map[string]script{"u1": func(conn net.Conn, r *http.Request) bool {
			ms, _ := strconv.Atoi(r.Header.Get("X-Lagoongw-Deadline-Ms"))
			left.Store(int64(ms))
			return answer(http.StatusOK, "good")(conn, r)
		}})
		g.detourThrough(90*time.Millisecond, 0, 0)
		started := time.Now()
		got := g.call(t.Context(), "/unsafe/x", "body", map[string]string{"X-Lagoongw-Deadline-Ms": "1000"})
		is.Equal(got.status, http.StatusOK)
		is.True(time.Since(started) >= 90*time.Millisecond)
		is.True(left.Load() <= 910)
	})
}

// TestCallerThatLeavesCancelsBeyondTheDetour guards against upstreams that work on for a caller who has left.
func TestCallerThatLeavesCancelsBeyondTheDetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var closedAt atomic.Int64
		g := newTestGateway(t, map[string]script{"u1": func(conn net.Conn, r *http.Request) bool {
			hang(conn, r)
			closedAt.Store(time.Now().UnixNano())
			return false
		}})
		g.detourThrough(10*time.Millisecond, 0, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		g.call(ctx, "/resumable/x", "body", nil)
		left := time.Now()
		time.Sleep(time.Second)
		is.True(closedAt.Load() > 0)
		is.True(time.Unix(0, closedAt.Load()).Sub(left) < 500*time.Millisecond)
		is.Equal(len(g.receivedRequests()), 1)
	})
}
