package entryvm

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// maxRefusals is the number of refused connections that are answered at once; those beyond it are closed.
	maxRefusals = 32
	// refusalBytes is what an answer to a refused connection holds: its stack and its buffers.
	refusalBytes = 16 << 10
	// refusalWait limits the time to read the request's beginning, to write the answer, and to wait until the other side
	// has closed the connection.
	refusalWait = time.Second
	// maxRefusedBytes limits what is read of a refused connection.
	maxRefusedBytes = 64 << 10
	// refusalReason is the body of the answer.
	refusalReason = "too many connections are open at this entry VM; the request has not run\n"
	// refusalRetryAfter is the Retry-After of the answer in seconds: about the time of one request.
	refusalRetryAfter = "0.500"
)

// refuse answers a connection beyond the limit in the background, or closes it if too many are being answered.
func (c *connectionLimit) refuse(conn net.Conn) {
	c.refused.Add(1)
	if c.refusals.Add(1) > maxRefusals {
		c.refusals.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer c.refusals.Add(-1)
		defer func() { _ = conn.Close() }()
		answerRefused(conn)
	}()
}

// answerRefused answers the first request of a connection with 503 without reading it. A client may take an answer that
// comes before its request for a fault, and loses one that is followed by a reset; so the first bytes are waited for,
// and what follows is read until the client closes the connection.
func answerRefused(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(refusalWait))
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return
	}
	answer := http.Response{
		StatusCode:    http.StatusServiceUnavailable,
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(refusalReason)),
		Close:         true,
		Body:          io.NopCloser(strings.NewReader(refusalReason)),
		Header: http.Header{
			"Content-Type": {"text/plain; charset=utf-8"},
			"Date":         {time.Now().UTC().Format(http.TimeFormat)},
			"Retry-After":  {refusalRetryAfter},
		},
	}
	if answer.Write(conn) != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxRefusedBytes))
}
