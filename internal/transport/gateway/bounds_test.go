package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// endlessBytes stands for an answer without end: it is far above every bound.
	endlessBytes = 4 << 20
	// maxHeldBytes is the most that the gateway may take of an answer that it can't pass on.
	maxHeldBytes = 128 << 10
)

// endless returns a script that begins an answer with head, and then repeats piece; taken counts the bytes that the
// gateway has taken.
func endless(head, piece string, taken *atomic.Int64) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r, head)
		block := strings.Repeat(piece, 1+1024/len(piece))
		for taken.Load() < endlessBytes {
			n, err := io.WriteString(conn, block)
			taken.Add(int64(n))
			if err != nil {
				return false
			}
		}
		return hang(conn, r)
	}
}

const chunkedHeaders = answerHeaders + "Transfer-Encoding: chunked\r\n\r\n"

type endlessCase struct {
	head, piece string
	// safe and unsafe are the statuses that callers of these routes see.
	safe, unsafe int
}

func testEndless(t *testing.T, paths [2]string, cases map[string]endlessCase) {
	for name, c := range cases {
		for i, want := range []int{c.safe, c.unsafe} {
			t.Run(name+paths[i], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					var taken atomic.Int64
					g := newTestGateway(t, map[string]script{
						"u1": endless(c.head, c.piece, &taken),
						"u2": answer(200, "good"),
					})
					got := g.call(t.Context(), paths[i], "body", nil)
					is.Equal(got.status, want)
					is.True(got.whole)
					is.True(taken.Load() <= maxHeldBytes)
				})
			})
		}
	}
}

// TestEndlessHeadOfAnUpstreamIsBounded guards against a head that is read until the memory is full.
func TestEndlessHeadOfAnUpstreamIsBounded(t *testing.T) {
	testEndless(t, [2]string{"/safe/x", "/unsafe/x"}, map[string]endlessCase{
		"status line":       {head: "HTTP/1.1 200 ", piece: "x", safe: 200, unsafe: 502},
		"many headers":      {head: "HTTP/1.1 200 X\r\n", piece: "X-A: 1\r\n", safe: 200, unsafe: 502},
		"one header":        {head: "HTTP/1.1 200 X\r\nX-A: ", piece: "x", safe: 200, unsafe: 502},
		"interim answers":   {head: "HTTP/1.1 100 X\r\n\r\n", piece: "HTTP/1.1 103 X\r\n\r\n", safe: 200, unsafe: 502},
		"bytes of anything": {head: "", piece: "\x00", safe: 200, unsafe: 502},
	})
}

// TestEndlessBodyIsBounded guards against the body of a refusal, which nobody needs, being read to its end.
func TestEndlessBodyIsBounded(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nX-Lagoongw-Not-Executed: 1\r\n"
	testEndless(t, [2]string{"/safe/x", "/unsafe/x"}, map[string]endlessCase{
		"refusal in chunks":      {head: refusal + chunkedHeaders, piece: "1\r\nx\r\n", safe: 200, unsafe: 200},
		"refusal without length": {head: refusal + answerHeaders + "\r\n", piece: "x", safe: 200, unsafe: 200},
		"refusal with length": {
			head:   refusal + answerHeaders + "Content-Length: 99999999\r\n\r\n",
			piece:  "x",
			safe:   200,
			unsafe: 200,
		},
	})
}

// TestEndlessTrailerIsBounded guards against headers after the last chunk that are read until the memory is full.
func TestEndlessTrailerIsBounded(t *testing.T) {
	const begun = "HTTP/1.1 200 X\r\n" + chunkedHeaders
	testEndless(t, [2]string{"/safe/x", "/unsafe/x"}, map[string]endlessCase{
		"trailer": {head: begun + "1\r\nx\r\n0\r\n", piece: "X-A: 1\r\n", safe: 200, unsafe: 502},
		"one header of a trailer": {
			head:   begun + "1\r\nx\r\n0\r\nX-A: ",
			piece:  "x",
			safe:   200,
			unsafe: 502,
		},
		"chunk size": {head: begun, piece: "1", safe: 200, unsafe: 502},
	})
}

// TestEndlessEventIsBounded guards against an event without end that is kept until the memory is full.
func TestEndlessEventIsBounded(t *testing.T) {
	for name, head := range map[string]string{
		"in chunks":      "HTTP/1.1 200 X\r\n" + chunkedHeaders + "ffffffff\r\n",
		"without length": "HTTP/1.1 200 X\r\n" + answerHeaders + "\r\n",
	} {
		for path, want := range map[string]int{"/resumable/x": 200, "/stream/x": 502} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					var taken atomic.Int64
					g := newTestGateway(t, map[string]script{
						"u1": endless(head+"id: 1\ndata: ", "x", &taken),
						"u2": eventStream(0),
					})
					got := g.call(t.Context(), path, "body", nil)
					is.Equal(got.status, want)
					is.True(got.whole)
					is.True(taken.Load() <= maxHeldBytes)
				})
			})
		}
	}
}

// TestEndlessAnswerIsPassedOnOnlyAsFastAsItIsRead guards against an answer that piles up in front of a caller that
// doesn't read.
func TestEndlessAnswerIsPassedOnOnlyAsFastAsItIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var taken atomic.Int64
		g := newTestGateway(t, map[string]script{
			"u1": endless("HTTP/1.1 200 X\r\n"+answerHeaders+"\r\n", "x", &taken),
		})
		conn, err := g.dialCaller(t.Context(), "", "")
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Lagoongw-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n")
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		_ = conn.Close()
		is.True(taken.Load() <= 4*maxHeldBytes) // it may be whole within the size that is read first
	})
}
