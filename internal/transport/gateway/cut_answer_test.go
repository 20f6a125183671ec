package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestAnswerCutAtAnyByteIsNotWhole guards against an empty or short body that callers get as a whole answer, when an upstream stops
// at some byte of its head, or short of its body, and closes the connection.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	body := eventText(2)
	for name, raw := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + answerHeaders + "Content-Length: 30\r\n\r\n" + body,
		"in chunks": "HTTP/1.1 200 OK\r\n" + answerHeaders + "Transfer-Encoding: chunked\r\n\r\n" +
			chunk(body[:20]) + chunk(body[20:]) + "0\r\n\r\n",
		"without a length":        "HTTP/1.1 200 OK\r\n" + answerHeaders + "Connection: close\r\n\r\n",
		"after an interim answer": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + answerHeaders + "Content-Length: 30\r\n\r\n" + body,
	} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					cut := 0
					g := newTestGateway(t, map[string]script{"u1": func(conn net.Conn, r *http.Request) bool {
						whole := strings.ReplaceAll(raw, "ID", r.Header.Get("X-Lagoongw-Attempt-Id"))
						_, _ = conn.Write([]byte(whole[:cut]))
						return false
					}})
					for cut = range len(strings.ReplaceAll(raw, "ID", "id-1")) {
						got := g.call(t.Context(), path, "{}", nil)
						is.True(got.status != http.StatusOK || !got.whole)
						is.True(got.status != http.StatusOK || strings.HasPrefix(body, got.body))
						is.True(got.status != http.StatusServiceUnavailable) // it may have run
					}
				})
			})
		}
	}
}
