package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
)

// weightedStream returns a script that answers like eventStream and names its weights. If strict, it refuses requests that expect
// others. The events of a stream that ends early name a change to other weights at the last one, if that is set.
func weightedStream(cutAfter int, weights string, strict bool, change string) script {
	stream := eventStream(cutAfter)
	return func(conn net.Conn, r *http.Request) bool {
		if expected := r.Header.Get("X-Lagoongw-Expect-Version"); strict && expected != "" && expected != weights {
			writeAnswer(conn, r, "HTTP/1.1 421 X\r\nX-Lagoongw-Instance-Id: "+r.Header.Get("X-Lagoongw-Expect-Instance")+
				"\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		if change != "" {
			writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"X-Lagoongw-Weight-Versions: "+weights+
				"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(eventText(1))+chunk("x-lagoongw-weight-versions: "+change+"\n"+
				eventText(2)[len(eventText(1)):]))
			return false
		}
		return stream(headerConn{
			Conn:   conn,
			header: "X-Lagoongw-Weight-Versions: " + weights + "\r\n",
		}, r)
	}
}

// headerConn adds a header to the first answer that is written.
type headerConn struct {
	net.Conn
	header string
}

func (c headerConn) Write(p []byte) (int, error) {
	const status = "HTTP/1.1 200 X\r\n"
	if len(p) > len(status) && string(p[:len(status)]) == status {
		if _, err := io.WriteString(c.Conn, status+c.header+string(p[len(status):])); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestStreamDoesNotGoOnAtAnUpstreamThatStartedAgain guards against an answer that joins the events of two versions: an upstream
// that has started again under its name with a newer one is listed with the former until its entry is read.
func TestStreamDoesNotGoOnAtAnUpstreamThatStartedAgain(t *testing.T) {
	// entryOf changes the version of a row, as its new entry does.
	entryOf := func(name string) func(row *wire.Machine) {
		return func(row *wire.Machine) {
			if row.Name == name {
				row.Version, row.Boot = "v2", 2
			}
		}
	}
	for name, c := range map[string]struct {
		first, second script
		// entry changes the list when it is read for the request; it is nil if it can't be read.
		entry  func(row *wire.Machine)
		sends  int
		goesOn bool
	}{
		"it refuses requests for other weights": {
			first: weightedStream(3, "1", true, ""), second: weightedStream(0, "2", true, ""), sends: 2,
		},
		"it runs requests for other weights": {
			first: weightedStream(3, "1", false, ""), second: weightedStream(0, "2", false, ""), sends: 2,
		},
		"it names no weights, its entry is read": {
			first: eventStream(3), second: eventStream(0), entry: entryOf("u2"), sends: 1,
		},
		"the first one had started again when the stream began": {
			first: eventStream(3), second: eventStream(0), entry: entryOf("u1"), sends: 1,
		},
		"the weights have changed within the stream": {
			first: weightedStream(3, "1", true, "2"), second: weightedStream(0, "2", true, ""), sends: 2, goesOn: true,
		},
		"no other version came": {
			first: eventStream(3), second: eventStream(0), entry: func(*wire.Machine) {}, sends: 2, goesOn: true,
		},
		"the list can't be read": {
			first: eventStream(3), second: eventStream(0), sends: 2, goesOn: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": c.first,
					"u2": c.second,
				})
				rows := []wire.Machine{}
				for _, name := range []string{"u1", "u2"} {
					listed, _ := g.upstreams.Load().Replica(name)
					rows = append(rows, wire.Machine{
						Name:             name,
						Kind:             replica.KindService,
						Pool:             "s",
						Address:          name,
						AvailabilityZone: listed.AvailabilityZone(),
						Region:           listed.Region(),
						Slots:            8,
						Boot:             1,
						Version:          defaultVersion,
					})
				}
				g.upstreams.Update(rows)
				g.gateway.AwaitList = func(context.Context, time.Time) bool {
					if c.entry == nil {
						return false
					}
					changed := slices.Clone(rows)
					for i := range changed {
						c.entry(&changed[i])
					}
					g.upstreams.Update(changed)
					return true
				}
				got := g.call(t.Context(), "/resumable/x", "{}", nil)
				is.Equal(got.whole, c.goesOn)
				is.Equal(len(g.receivedRequests()), c.sends)
			})
		})
	}
}

// TestOriginAtAnUpstreamThatStartedAgainIsRevoked guards against a stream that is taken up at the version that its upstream was
// listed with, though that had started again with another one just before.
func TestOriginAtAnUpstreamThatStartedAgainIsRevoked(t *testing.T) {
	for name, c := range map[string]struct {
		restarts bool
		status   int
	}{
		"started again": {restarts: true, status: http.StatusServiceUnavailable},
		"ran on":        {status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": eventStream(0),
					"u2": eventStream(0),
				})
				var readAt atomic.Pointer[time.Time]
				read := func(at time.Time) { readAt.Store(&at) }
				read(time.Now())
				g.gateway.ListReadAt = func() time.Time { return *readAt.Load() }
				g.call(t.Context(), "/resumable/x", "{}", nil)
				if c.restarts {
					row := func(name, version string, boot int) wire.Machine {
						return wire.Machine{
							Name:    name,
							Kind:    replica.KindService,
							Pool:    "s",
							Address: name,
							Region:  "near",
							Slots:   8,
							Boot:    boot,
							Version: version,
						}
					}
					g.upstreams.Update([]wire.Machine{row("u1", "v2", 2), row("u2", defaultVersion, 0)})
				}
				read(time.Now().Add(2 * time.Second))
				time.Sleep(time.Second)
				got := g.call(t.Context(), "/resumable/x", "{}", map[string]string{
					"X-Lagoongw-Attempt-Id": "id-2",
					"Resumes":               "id-1",
					"Last-Event-Id":         "2",
				})
				is.Equal(got.status, c.status)
			})
		})
	}
}
