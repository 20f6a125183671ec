package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func bytesReader(data []byte) io.Reader { return bytes.NewReader(data) }

// writeAnswer writes the raw text of an answer, with the request's ID in place of each "ID".
func writeAnswer(conn net.Conn, r *http.Request, text string) {
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Lagoongw-Attempt-Id")))
}

const answerHeaders = "X-Lagoongw-Attempt-Id: ID\r\nX-Lagoongw-Response-Stamp: s\r\n"

// answer returns a script that sends a complete answer.
func answer(status int, body string) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r,
			fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, answerHeaders, len(body), body))
		return true
	}
}

// shed refuses the request without running it, as an overloaded upstream does.
func shed(conn net.Conn, r *http.Request) bool {
	writeAnswer(conn, r, "HTTP/1.1 503 X\r\nX-Lagoongw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return true
}

// misdirected answers as another upstream that has taken over the address.
func misdirected(conn net.Conn, r *http.Request) bool {
	writeAnswer(conn, r, "HTTP/1.1 421 X\r\n"+answerHeaders+"X-Lagoongw-Instance-Id: other\r\nContent-Length: 0\r\n\r\n")
	return true
}

// reset closes the connection without an answer.
func reset(net.Conn, *http.Request) bool { return false }

// hang never answers; it returns when the gateway closes the connection.
func hang(conn net.Conn, _ *http.Request) bool {
	_, _ = conn.Read(make([]byte, 1))
	return false
}

// rawAnswer returns a script that writes an answer given as raw text, and closes the connection.
func rawAnswer(raw string) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r, raw)
		return false
	}
}

// streamEvents is the number of events in a complete stream.
const streamEvents = 5

// eventStream returns a script that streams the events after Last-Event-Id; if breakAt is above 0, the connection is
// closed in the middle of that event.
func eventStream(breakAt int) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r,
			"HTTP/1.1 200 X\r\n"+answerHeaders+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := after + 1; i <= streamEvents; i++ {
			time.Sleep(20 * time.Millisecond)
			frame := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)
			if i == breakAt {
				writeAnswer(conn, r, chunk(frame[:6]))
				return false
			}
			writeAnswer(conn, r, chunk(frame))
		}
		writeAnswer(conn, r, "0\r\n\r\n")
		return true
	}
}

// stall returns a script that streams count events and then hangs.
func stall(count int) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Transfer-Encoding: chunked\r\n\r\n")
		for i := 1; i <= count; i++ {
			writeAnswer(conn, r, chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)))
		}
		return hang(conn, r)
	}
}

// drip returns a script that streams count events and then one byte of the next event at a time, without an end.
func drip(count int) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Transfer-Encoding: chunked\r\n\r\n")
		for i := 1; i <= count; i++ {
			writeAnswer(conn, r, chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)))
		}
		for {
			time.Sleep(400 * time.Millisecond)
			if _, err := io.WriteString(conn, chunk("x")); err != nil {
				return false
			}
		}
	}
}

// slowStream streams all events with pauses just shorter than those after which a stream is taken for stalled.
func slowStream(conn net.Conn, r *http.Request) bool {
	writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Transfer-Encoding: chunked\r\n\r\n")
	for i := 1; i <= streamEvents; i++ {
		time.Sleep(1400 * time.Millisecond)
		writeAnswer(conn, r, chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)))
	}
	writeAnswer(conn, r, "0\r\n\r\n")
	return true
}

// silentFor returns a script that streams all events, with a silence after one of them.
func silentFor(silence time.Duration, after int) script {
	return func(conn net.Conn, r *http.Request) bool {
		writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Transfer-Encoding: chunked\r\n\r\n")
		for i := 1; i <= streamEvents; i++ {
			writeAnswer(conn, r, chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)))
			if i == after {
				time.Sleep(silence)
			}
		}
		writeAnswer(conn, r, "0\r\n\r\n")
		return true
	}
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventText returns the text of the first count events of a stream.
func eventText(count int) string {
	var all strings.Builder
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&all, "id: %d\ndata: %d\n\n", i, i)
	}
	return all.String()
}
