package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/drain"
)

// maxHeldAnswer bounds the answers that are read whole before the first byte is passed on.
const maxHeldAnswer = 1 << 20

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
}

// readWhole reads an answer to its end and gives the connection back; long tells that more of it follows.
func (x *exchange) readWhole(s *sending) (body []byte, long bool, err error) {
	body, err = io.ReadAll(io.LimitReader(s.response.Body, maxHeldAnswer))
	if err != nil {
		s.response.Discard()
		return nil, false, err
	}
	if len(body) == maxHeldAnswer {
		return body, true, nil
	}
	s.response.Release(x.server.Connections, s.reply.IdleTimeout)
	return body, false, nil
}

// held is an upstream's whole answer that was not passed on yet.
type held struct {
	status int
	header http.Header
	body   []byte
}

// hold reads a plain answer whole.
func (x *exchange) hold(s *sending) (attempt.Result, error) {
	body, long, err := x.readWhole(s)
	now := time.Now()
	if err == nil && long {
		err = x.passLong(s, body)
	}
	if err != nil {
		x.server.Dispatcher.Failed(s.upstream, now)
		return attempt.Lost, err
	}
	if long {
		x.server.Dispatcher.Succeeded(s.upstream, 0, now)
		return attempt.Answered, nil
	}
	x.held = &held{
		status: s.response.StatusCode,
		header: s.response.Header,
		body:   body,
	}
	if s.response.StatusCode >= http.StatusInternalServerError {
		x.server.Dispatcher.Failed(s.upstream, now)
		return attempt.Failed, nil
	}
	x.server.Dispatcher.Succeeded(s.upstream, now.Sub(s.began), now)
	return attempt.Answered, nil
}

// passLong passes an answer on as it comes that is too long to be held; from its first byte on there is no other answer.
func (x *exchange) passLong(s *sending, body []byte) error {
	x.copyHead(s.response.Header)
	if s.response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(s.response.ContentLength, 10))
	}
	x.w.WriteHeader(s.response.StatusCode)
	x.relayed.started = true
	x.attempts.MarkStreaming()
	x.attempts.Repeatable = false // a second answer can't follow the part that was passed on
	_, err := x.w.Write(body)
	if err == nil {
		_, err = io.Copy(x.w, s.response.Body)
	}
	if err != nil {
		s.response.Discard()
		return err
	}
	s.response.Release(x.server.Connections, s.reply.IdleTimeout)
	return nil
}

// deliver passes the held answer on.
func (x *exchange) deliver() error {
	x.copyHead(x.held.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(x.held.body)))
	x.w.WriteHeader(x.held.status)
	_, err := x.w.Write(x.held.body)
	return err
}

// copyHead copies the upstream's headers, but for those of its connection.
func (x *exchange) copyHead(from http.Header) {
	head := x.w.Header()
	for name, values := range from {
		head[name] = values
	}
	for _, name := range connectionHeaders {
		head.Del(name)
	}
	if x.last || x.server.Phase() != drain.Serving {
		head.Set("Connection", "close")
	}
	if _, given := head["Content-Type"]; !given {
		head["Content-Type"] = nil
	}
	if _, given := head["Date"]; !given {
		head["Date"] = nil
	}
}
