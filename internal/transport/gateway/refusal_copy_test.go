package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// copyingUpstream refuses the first request on each connection, and sends that refusal once more before the answer to the
// next request there, which it runs.
type copyingUpstream struct {
	status int
	named  bool

	mu       sync.Mutex
	refusals map[net.Conn]string
	runs     map[string]int
	copies   int
}

func (u *copyingUpstream) serve(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Lagoongw-Attempt-Id")
	u.mu.Lock()
	earlier, again := u.refusals[conn]
	if !again {
		u.refusals[conn] = u.refusal(id)
	} else {
		u.runs[id]++
		u.copies++
	}
	refusal := u.refusals[conn]
	u.mu.Unlock()
	if !again {
		writeAnswer(conn, r, refusal)
		return true
	}
	writeAnswer(conn, r, earlier)
	time.Sleep(20 * time.Millisecond)
	return answer(http.StatusOK, "done")(conn, r)
}

func (u *copyingUpstream) refusal(id string) string {
	header := "X-Lagoongw-Not-Executed: 1\r\n"
	if u.named {
		header += "X-Lagoongw-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", u.status, header)
}

// TestCopyOfARefusalIsNoPromise guards against a faulty upstream that sends an earlier refusal once more on a kept connection:
// callers were told that a request has not run which had, or it ran at a second upstream. The copy may have the ID of its
// request, or none, and that request may come again, to the upstream that refused it.
func TestCopyOfARefusalIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		for _, named := range []bool{true, false} {
			for _, ids := range [][]string{{"id-1", "id-2"}, {"id-1", "id-1"}, {"id-1", "id-2", "id-1"}} {
				for _, path := range []string{"/unsafe/x", "/stream/x"} {
					t.Run(fmt.Sprint(status, " named ", named, " ", ids, path), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							is := is.New(t)
							faulty := &copyingUpstream{
								status:   status,
								named:    named,
								refusals: map[net.Conn]string{},
								runs:     map[string]int{},
							}
							elsewhere := map[string]int{}
							g := newTestGateway(t, map[string]script{
								"u1": faulty.serve,
								"u2": func(conn net.Conn, r *http.Request) bool {
									elsewhere[r.Header.Get("X-Lagoongw-Attempt-Id")]++
									return shed(conn, r)
								},
							})
							for i, id := range ids {
								before := faulty.runs[id]
								got := g.call(t.Context(), path, "{}", map[string]string{"X-Lagoongw-Attempt-Id": id})
								ran := faulty.runs[id] - before
								refused := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests ||
									got.status == http.StatusMisdirectedRequest
								is.True(ran <= 1)
								is.True(ran == 0 || !refused) // a promise that the request has not run
								if ran > 0 && i > 0 && ids[i-1] != id {
									is.Equal(elsewhere[id], 0) // it has run, or may have
								}
								time.Sleep(time.Second) // the upstream is not avoided any more
							}
							if len(ids) > 1 && ids[0] != ids[1] {
								is.True(faulty.copies > 0)
							}
						})
					})
				}
			}
		}
	}
}

// TestRefusalsWithoutAnIDCountOnNewConnections guards against answers of 502 to requests that an upstream has refused on a
// connection of their own, which can't be copies.
func TestRefusalsWithoutAnIDCountOnNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{
			"u1": func(conn net.Conn, r *http.Request) bool {
				writeAnswer(conn, r, "HTTP/1.1 503 X\r\nX-Lagoongw-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				return false
			},
			"u2": answer(http.StatusOK, "good"),
		})
		for range 3 {
			is.Equal(g.call(t.Context(), "/unsafe/x", "{}", nil).status, http.StatusOK)
			time.Sleep(time.Second)
		}
		is.True(strings.HasPrefix(g.receivedRequests()[0], "u1 "))
	})
}
