package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

const streamHead = answerHeaders + "Content-Type: text/event-stream\r\n"

// chunked returns an answer in chunks, one for each text, with its end.
func chunked(status int, header string, texts ...string) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r, fmt.Sprintf("HTTP/1.1 %d X\r\n%sTransfer-Encoding: chunked\r\n\r\n", status, header))
		for _, text := range texts {
			writeAnswer(conn, r, chunk(text))
		}
		writeAnswer(conn, r, "0\r\n\r\n")
		return true
	}
}

// events returns the text of the events from one ID to another.
func events(from, to int) string {
	return strings.TrimPrefix(eventText(to), eventText(from-1))
}

// TestAnswerThatDoesNotGoOnWithABegunStream guards against the body of a second answer in the middle of a stream, and against a
// stream that ends as complete with it: the first upstream breaks off after its first events, and the second one answers the
// resumed request with anything but the next events.
func TestAnswerThatDoesNotGoOnWithABegunStream(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for name, second := range map[string]script{
		"200 without events":          answer(200, ""),
		"200 without events, chunked": chunked(200, streamHead),
		"200 without a length, empty": rawAnswer("HTTP/1.1 200 X\r\n" + streamHead + "\r\n"),
		"200 of text":                 answer(200, "all is well"),
		"200 of text, event-stream":   chunked(200, streamHead, "all is well\n\n"),
		"200 of another type":         chunked(200, answerHeaders+"Content-Type: application/json\r\n", events(3, streamEvents)),
		"200 that is encoded":         chunked(200, streamHead+"Content-Encoding: gzip\r\n", events(3, streamEvents)),
		"200 of events without IDs":   chunked(200, streamHead, "data: 3\n\n", "data: 4\n\n"),
		"200 from the first event":    chunked(200, streamHead, events(1, streamEvents)),
		"200 from the last event":     chunked(200, streamHead, events(2, streamEvents)),
		"200 that repeats later":      chunked(200, streamHead, events(3, 4), events(3, streamEvents)),
		"200 of comments alone":       chunked(200, streamHead, ": busy\n\n"),
		"202":                         chunked(202, streamHead, events(3, streamEvents)),
		"204":                         rawAnswer("HTTP/1.1 204 X\r\n" + answerHeaders + "\r\n"),
		"205":                         answer(205, ""),
		"206":                         chunked(206, streamHead, events(3, streamEvents)),
		"206 with a length":           answer(206, events(3, streamEvents)),
		"301":                         answer(301, "elsewhere"),
		"304":                         rawAnswer("HTTP/1.1 304 X\r\n" + answerHeaders + "\r\n"),
		"400 in chunks":               chunked(400, answerHeaders, "no such", " event"),
		"400 in chunks, long":         chunked(400, answerHeaders, long),
		"401":                         answer(401, "no key"),
		"404":                         answer(404, "no such stream"),
		"404 without a length":        rawAnswer("HTTP/1.1 404 X\r\n" + answerHeaders + "\r\nno such stream"),
		"404 without a body":          answer(404, ""),
		"404, long":                   answer(404, long),
		"409":                         answer(409, "too late"),
		"429 that may have run":       answer(429, "slowly"),
		"500":                         answer(500, "broken"),
		"500, long":                   answer(500, long),
		"500 in chunks":               chunked(500, answerHeaders, "broken"),
		"503 that may have run":       answer(503, "busy"),
		"refusal":                     shed,
		"another upstream's address":  misdirected,
		"of another request":          rawAnswer(otherRequestOK),
		"without the request's ID":    rawAnswer(noRequestID),
		"no HTTP":                     rawAnswer(garbage),
		"cut in the head":             rawAnswer("HTTP/1.1 200 X\r\n" + streamHead),
		"101":                         rawAnswer("HTTP/1.1 101 X\r\n" + answerHeaders + "Upgrade: x\r\n\r\n" + events(3, streamEvents)),
		"103 and 404":                 rawAnswer("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 404 X\r\n" + answerHeaders + "Content-Length: 2\r\n\r\nno"),
		"broken off":                  eventStream(3),
		"none":                        reset,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": eventStream(3),
					"u2": second,
				})
				got := g.call(t.Context(), "/resumable/x", "{}", nil)
				is.Equal(got.status, http.StatusOK)
				is.True(strings.HasPrefix(eventText(streamEvents), got.body)) // nothing but events, each once and in order
				is.True(strings.HasPrefix(got.body, eventText(2)))
				is.True(!got.whole)
				is.Equal(len(g.receivedRequests()), 2)
			})
		})
	}
}

// TestAnswerThatGoesOnWithABegunStream guards against sound second answers that are dropped, whatever the case and the parameters
// of their type.
func TestAnswerThatGoesOnWithABegunStream(t *testing.T) {
	for name, second := range map[string]script{
		"in chunks":        eventStream(0),
		"without a length": rawAnswer("HTTP/1.1 200 X\r\n" + streamHead + "\r\n" + events(3, streamEvents)),
		"with parameters":  chunked(200, answerHeaders+"Content-Type: Text/Event-Stream; charset=utf-8\r\n", events(3, streamEvents)),
		"without a type":   chunked(200, answerHeaders, events(3, 4), events(5, streamEvents)),
		"with an interim answer": rawAnswer("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\n" + streamHead + "\r\n" +
			events(3, streamEvents)),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": eventStream(3),
					"u2": second,
				})
				got := g.call(t.Context(), "/resumable/x", "{}", nil)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, eventText(streamEvents))
				is.True(got.whole)
			})
		})
	}
}

// TestStreamWithoutIDsDoesNotGoOnElsewhere guards against events that come twice: no request can say after which event a stream
// goes on whose last event has no ID.
func TestStreamWithoutIDsDoesNotGoOnElsewhere(t *testing.T) {
	for name, first := range map[string]string{
		"none has one":      "data: 1\n\ndata: 2\n\n",
		"the last has none": "id: 1\ndata: 1\n\ndata: 2\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{
					"u1": func(conn net.Conn, r *http.Request) bool {
						writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+streamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunk(first))
						return false
					},
					"u2": eventStream(0),
				})
				got := g.call(t.Context(), "/resumable/x", "{}", nil)
				is.Equal(got.body, first)
				is.True(!got.whole)
			})
		})
	}
}
