package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestNoRequestSmugglingByAmbiguousFraming sends requests whose end two HTTP readers could see in different places,
// with another request hidden where one of them would find it. The hidden request must not reach an upstream.
func TestNoRequestSmugglingByAmbiguousFraming(t *testing.T) {
	const (
		line   = "POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\n"
		hidden = "POST /unsafe/hidden HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-2\r\nContent-Length: 0\r\n\r\n"
	)
	for name, c := range map[string]struct {
		raw  string
		runs int
	}{
		"length and chunks, hidden in the length": {
			raw:  line + "Content-Length: 120\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
			runs: 1,
		},
		"two lengths": {
			raw:  line + "Content-Length: 0\r\nContent-Length: 120\r\n\r\n" + hidden,
			runs: 0,
		},
		"a list of lengths":    {raw: line + "Content-Length: 0, 120\r\n\r\n" + hidden, runs: 0},
		"a length with a sign": {raw: line + "Content-Length: +0\r\n\r\n" + hidden, runs: 0},
		"unknown coding":       {raw: line + "Transfer-Encoding: xchunked\r\n\r\n" + hidden, runs: 0},
		"two codings": {
			raw:  line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
			runs: 0,
		},
		"space before the colon": {raw: line + "Content-Length : 0\r\n\r\n" + hidden, runs: 0},
		"folded header": {
			raw:  line + "X-A: 1\r\n\tTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + "",
			runs: 1,
		},
		"chunk longer than its size": {
			raw:  line + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + hidden,
			runs: 0,
		},
		"header above the size limit": {raw: line + "X-A: " + strings.Repeat("a", 2<<20) + "\r\n\r\n" + hidden, runs: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": answer(200, "good")})
				conn, err := g.dialCaller(t.Context(), "", "")
				is.NoErr(err)
				go func() { _, _ = io.WriteString(conn, c.raw) }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					is.True(c.runs > 0 || response.StatusCode >= http.StatusBadRequest)
					is.NoErr(response.Body.Close())
				}
				time.Sleep(time.Second)
				_ = conn.Close()
				synctest.Wait()
				runs := 0
				for _, request := range g.receivedRequests() {
					is.True(!strings.Contains(request, "hidden"))
					if strings.Contains(request, "/safe/x") {
						runs++
					}
				}
				is.Equal(runs, c.runs)
			})
		})
	}
}
