package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// unsoundHeads returns heads of answers that are not sound HTTP/1.1, by name. A body of 15 bytes follows each.
func unsoundHeads() map[string]string {
	heads := map[string]string{}
	for _, line := range []string{"Content-Length: 15", "Transfer-Encoding: chunked", "X-Other: 1"} {
		name, value, _ := strings.Cut(line, ":")
		for fault, odd := range map[string]string{
			"blank at the start":        " " + line,
			"tab at the start":          "\t" + line,
			"blank inside":              name[:4] + " " + name[4:] + ":" + value,
			"tab inside":                name[:4] + "\t" + name[4:] + ":" + value,
			"blank before the colon":    name + " :" + value,
			"tab before the colon":      name + "\t:" + value,
			"control byte in the name":  name[:4] + "\x01" + name[4:] + ":" + value,
			"control byte in the value": line + "\x01",
			"carriage return":           name + ":\r" + value,
			"no name":                   ":" + value,
		} {
			heads[fault+", "+name] = "HTTP/1.1 200 X\r\n" + answerHeaders + odd + "\r\n"
		}
	}
	for name, lines := range map[string]string{
		"length and chunks":      "Content-Length: 15\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":            "Content-Length: 15\r\nContent-Length: 16\r\n",
		"length with a sign":     "Content-Length: +15\r\n",
		"unknown coding":         "Transfer-Encoding: gzip\r\n",
		"odd line after another": "Content-Length: 15\r\n X-Other: 1\r\n",
	} {
		heads[name] = "HTTP/1.1 200 X\r\n" + answerHeaders + lines
	}
	heads["chunks of HTTP/1.0"] = "HTTP/1.0 200 X\r\n" + answerHeaders + "Transfer-Encoding: chunked\r\n"
	heads["interim answer with an odd line"] = "HTTP/1.1 103 X\r\nOther X: 1\r\n\r\nHTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length: 15\r\n"
	heads["interim answer in chunks"] = "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length: 15\r\n"
	heads["status 000 before an answer"] = "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length: 15\r\n"
	heads["protocol that was not asked for"] = "HTTP/1.1 101 X\r\n" + answerHeaders + "Upgrade: x\r\n"
	heads["HTTP/2.0"] = "HTTP/2.0 200 X\r\n" + answerHeaders + "Content-Length: 15\r\n"
	return heads
}

// TestAnswersThatAreNotSoundAreBroken guards against answers with a malformed head that reach callers, be it with bytes that the
// upstream did not mean as its body, and against callers that wait for the rest of one until their deadline.
func TestAnswersThatAreNotSoundAreBroken(t *testing.T) {
	for name, head := range unsoundHeads() {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
			for end, keepOpen := range map[string]bool{", closed": false, ", left open": true} {
				t.Run(name+path+end, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { callUnsound(t, path, head+"\r\n"+eventText(1), keepOpen) })
				})
			}
		}
	}
}

// TestStatusThatHTTPDoesNotHaveIsBrokenAtOnce guards against callers that wait until their deadline for what follows an answer whose
// status is taken for that of an interim one.
func TestStatusThatHTTPDoesNotHaveIsBrokenAtOnce(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "-20", "2x0"} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
			t.Run(status+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					callUnsound(t, path, "HTTP/1.1 "+status+" X\r\n"+answerHeaders+"Content-Length: 0\r\n\r\n", true)
				})
			})
		}
	}
}

// callUnsound calls a gateway whose first upstream answers with raw text and may leave the connection open, and checks that the
// caller gets 502, or the second upstream's answer on the routes that allow a repeat.
func callUnsound(t *testing.T, path, raw string, keepOpen bool) {
	is := is.New(t)
	first, second := rawAnswer(raw), answer(http.StatusOK, "good")
	if keepOpen {
		first = func(conn net.Conn, r *http.Request) bool {
			writeAnswer(conn, r, raw)
			return hang(conn, r)
		}
	}
	if path == "/resumable/x" {
		second = eventStream(0)
	}
	g := newTestGateway(t, map[string]script{"u1": first, "u2": second})
	began := time.Now()
	got := g.call(t.Context(), path, "body", nil)
	is.True(time.Since(began) < 200*time.Millisecond)
	is.True(got.whole)
	if path == "/unsafe/x" || path == "/stream/x" {
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(len(g.receivedRequests()), 1)
		return
	}
	is.Equal(got.status, http.StatusOK)
	is.True(got.body == "good" || got.body == eventText(streamEvents))
	is.Equal(len(g.receivedRequests()), 2)
}

// TestAnswersWithOddChunksAreBroken is TestAnswersThatAreNotSoundAreBroken for what stands between the bytes of a body.
func TestAnswersWithOddChunksAreBroken(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\n" + answerHeaders + "Transfer-Encoding: chunked\r\n\r\n"
	for name, body := range map[string]string{
		"blank after the size":              "4 \r\nbody\r\n0\r\n\r\n",
		"blank before the size":             " 4\r\nbody\r\n0\r\n\r\n",
		"chunk shorter than its size":       "5\r\nbody\r\n0\r\n\r\n",
		"chunk longer than its size":        "3\r\nbody\r\n0\r\n\r\n",
		"line that ends without a return":   "4\nbody\r\n0\r\n\r\n",
		"control byte in an extension":      "4;a=\x01\r\nbody\r\n0\r\n\r\n",
		"extension without a name":          "4;\r\nbody\r\n0\r\n\r\n",
		"blank in the name of a trailer":    "4\r\nbody\r\n0\r\nOther X: 1\r\n\r\n",
		"blank at the start of a trailer":   "4\r\nbody\r\n0\r\nX-Other: 1\r\n X-More: 1\r\n\r\n",
		"trailer that frames the body":      "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n",
		"control byte in a trailer's value": "4\r\nbody\r\n0\r\nX-Other: \x01\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": rawAnswer(head + body)})
				got := g.call(t.Context(), "/unsafe/x", "body", nil)
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(len(g.receivedRequests()), 1)
			})
		})
	}
}

// TestUnusualAnswersThatAreSoundArePassedOn guards against a check that refuses what HTTP/1.1 allows.
func TestUnusualAnswersThatAreSoundArePassedOn(t *testing.T) {
	for name, raw := range map[string]string{
		"no reason":             "HTTP/1.1 200 \r\n" + answerHeaders + "Content-Length: 4\r\n\r\nbody",
		"HTTP/1.0":              "HTTP/1.0 200 X\r\n" + answerHeaders + "Content-Length: 4\r\n\r\nbody",
		"names in lower case":   "HTTP/1.1 200 X\r\n" + answerHeaders + "content-length: 4\r\n\r\nbody",
		"no blank before value": "HTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length:4\r\n\r\nbody",
		"blanks around value":   "HTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length: \t 4 \t\r\n\r\nbody",
		"empty value":           "HTTP/1.1 200 X\r\n" + answerHeaders + "X-Other:\r\nContent-Length: 4\r\n\r\nbody",
		"bytes above 127":       "HTTP/1.1 200 \xfc\r\n" + answerHeaders + "X-Other: \xfc\xff\r\nContent-Length: 4\r\n\r\nbody",
		"all bytes of a name":   "HTTP/1.1 200 X\r\n" + answerHeaders + "!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 4\r\n\r\nbody",
		"the same length twice": "HTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
		"interim answers": "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: </a>\r\n\r\n" +
			"HTTP/1.1 200 X\r\n" + answerHeaders + "Content-Length: 4\r\n\r\nbody",
		"coding in capitals": "HTTP/1.1 200 X\r\n" + answerHeaders + "Transfer-Encoding: CHUNKED\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"extensions and trailers": "HTTP/1.1 200 X\r\n" + answerHeaders + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n" +
			"002;a\r\nbo\r\n2;b=c;d=\"e ; \\\" f\xff\"\r\ndy\r\n000\r\nX-Sum: 1\r\n\r\n",
		"without a length": "HTTP/1.1 200 X\r\n" + answerHeaders + "\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": rawAnswer(raw)})
				got := g.call(t.Context(), "/unsafe/x", "body", nil)
				is.Equal(fmt.Sprintf("%d %t %s", got.status, got.whole, got.body), "200 true body")
			})
		})
	}
}

// TestStreamsWithAnOddChunkGoOnElsewhere guards against a stream that ends, or goes on with bytes of another reading, at a chunk that is
// not sound.
func TestStreamsWithAnOddChunkGoOnElsewhere(t *testing.T) {
	for name, odd := range map[string]string{
		"blank after the size":       "4 \r\nid: \r\n0\r\n\r\n",
		"control byte":               "4;\x01\r\nid: \r\n0\r\n\r\n",
		"blank in a trailer's name":  "0\r\nX Other: 1\r\n\r\n",
		"chunk longer than its size": "3\r\nid: \r\n0\r\n\r\n",
	} {
		for path, want := range map[string]string{
			"/resumable/x": fmt.Sprintf("200 true 2 %s", eventText(streamEvents)),
			"/stream/x":    fmt.Sprintf("200 false 1 %s", eventText(2)),
		} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					head := "HTTP/1.1 200 X\r\n" + answerHeaders + "Transfer-Encoding: chunked\r\n\r\n"
					g := newTestGateway(t, map[string]script{
						"u1": rawAnswer(head + chunk(eventText(2)) + odd),
						"u2": eventStream(0),
					})
					got := g.call(t.Context(), path, "body", nil)
					is.Equal(fmt.Sprintf("%d %t %d %s", got.status, got.whole, len(g.receivedRequests()), got.body), want)
				})
			})
		}
	}
}
