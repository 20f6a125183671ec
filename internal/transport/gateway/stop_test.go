package gateway_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/drain"
)

// TestRequestsInFlightAreAnsweredWhenTheNodeStops guards against connections that are closed without an answer at the end of a
// drain, and against a promise for a request that has run.
func TestRequestsInFlightAreAnsweredWhenTheNodeStops(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		upstream script
		status   int
		whole    bool
	}{
		"running, may not run twice": {path: "/unsafe/x", upstream: hang, status: http.StatusBadGateway, whole: true},
		"running, may run twice":     {path: "/safe/x", upstream: hang, status: http.StatusBadGateway, whole: true},
		"not sent yet":               {path: "/unsafe/x", status: http.StatusServiceUnavailable, whole: true},
		"stream begun": {path: "/resumable/x", upstream: func(conn net.Conn, r *http.Request) bool {
			writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Transfer-Encoding: chunked\r\n\r\n"+chunk(eventText(1)))
			return hang(conn, r)
		}, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": c.upstream})
				if c.upstream == nil {
					g.gateway.Connections.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
						<-ctx.Done()
						return nil, ctx.Err()
					}
				}
				answered := make(chan callResult, 1)
				go func() { answered <- g.call(t.Context(), c.path, "{}", nil) }()
				time.Sleep(100 * time.Millisecond)
				began := time.Now()
				g.gateway.EndRequests()
				got := <-answered
				is.Equal(got.status, c.status)
				is.Equal(got.whole, c.whole)
				is.Equal(time.Since(began), time.Duration(0))
				is.Equal(len(g.receivedRequests()) > 0, c.upstream != nil)
			})
		})
	}
}

// TestLeavingNodeRefusesWhatItMayNotFinish guards against streams that are taken near the end of a drain and broken off by it,
// and against refusals of requests that end in time.
func TestLeavingNodeRefusesWhatItMayNotFinish(t *testing.T) {
	for name, c := range map[string]struct {
		left   time.Duration
		status int
	}{
		"enough time is left":     {left: 2 * time.Second, status: http.StatusOK},
		"too little time is left": {left: 500 * time.Millisecond, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				g.phase = drain.Refusing
				end := time.Now().Add(c.left)
				g.gateway.Accepts = func(deadline time.Time) bool { return deadline.Before(end) }
				got := g.call(t.Context(), "/unsafe/x", "{}", map[string]string{"X-Lagoongw-Deadline-Ms": "900"})
				is.Equal(got.status, c.status)
				is.Equal(len(g.receivedRequests()) > 0, c.status == http.StatusOK)
			})
		})
	}
}
