package gateway

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/drain"
)

// maxBufferedAnswerBytes is the size from which an answer is sent to the caller as it arrives; shorter ones are read
// completely first.
const maxBufferedAnswerBytes = 1 << 20

// hopByHopHeaders concern a single connection (RFC 9110, section 7.6.1); Content-Length is set anew where it is known.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
}

// readAnswer reads the body of an answer and releases the connection. If the body reaches maxBufferedAnswerBytes, more
// is true and the rest is still to be read.
func (x *exchange) readAnswer(s *upstreamSend) (body []byte, more bool, err error) {
	body, err = io.ReadAll(io.LimitReader(s.response.Body, maxBufferedAnswerBytes))
	if err != nil {
		s.response.Discard()
		return nil, false, err
	}
	if len(body) == maxBufferedAnswerBytes {
		return body, true, nil
	}
	s.response.Release(x.server.Connections, s.reply.IdleTimeout)
	return body, false, nil
}

// bufferedAnswer is an upstream's complete answer that the caller has not been sent yet.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// bufferAnswer reads an answer that is not a stream, and keeps it for finish; a long one is sent to the caller
// directly.
func (x *exchange) bufferAnswer(s *upstreamSend) (attempt.Result, error) {
	body, more, err := x.readAnswer(s)
	now := time.Now()
	if err == nil && more {
		x.setBuffered(nil)
		err = x.streamLongAnswer(s, body)
	}
	if err != nil {
		x.server.Dispatcher.Failed(s.upstream, now)
		return attempt.Lost, err
	}
	if more {
		x.recordLongAnswer(s, now)
		return attempt.Answered, nil
	}
	x.setBuffered(&bufferedAnswer{
		status: s.response.StatusCode,
		header: s.response.Header,
		body:   body,
	})
	if s.response.StatusCode >= http.StatusInternalServerError {
		x.server.Dispatcher.Failed(s.upstream, now)
		return attempt.Failed, nil
	}
	x.server.Dispatcher.Succeeded(s.upstream, now.Sub(s.started), now)
	return attempt.Answered, nil
}

// setBuffered replaces the buffered answer; nil drops it.
func (x *exchange) setBuffered(answer *bufferedAnswer) {
	x.server.answerBytes.Add(answer.size() - x.buffered.size())
	x.buffered = answer
}

// size returns the size of the body, 0 if there is no answer.
func (b *bufferedAnswer) size() int64 {
	if b == nil {
		return 0
	}
	return int64(len(b.body))
}

// recordLongAnswer tells the dispatcher whether an answer that was sent as it arrived was a server error.
func (x *exchange) recordLongAnswer(s *upstreamSend, now time.Time) {
	x.sentStatus = s.response.StatusCode
	if s.response.StatusCode >= http.StatusInternalServerError {
		x.server.Dispatcher.Failed(s.upstream, now)
		return
	}
	x.server.Dispatcher.Succeeded(s.upstream, 0, now)
}

// streamLongAnswer sends an answer that is too long to buffer to the caller as it arrives; from its first byte on, no
// other answer can be given.
func (x *exchange) streamLongAnswer(s *upstreamSend, body []byte) error {
	x.copyHeader(s.response.Header)
	if s.response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(s.response.ContentLength, 10))
	}
	x.w.WriteHeader(s.response.StatusCode)
	x.progress.headWritten = true
	x.attempts.MarkStreaming()
	x.attempts.Repeatable = false // another answer can't continue the part already sent
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

// writeBuffered sends the buffered answer to the caller.
func (x *exchange) writeBuffered() error {
	x.copyHeader(x.buffered.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(x.buffered.body)))
	x.w.WriteHeader(x.buffered.status)
	_, err := x.w.Write(x.buffered.body)
	return err
}

// copyHeader copies the upstream's headers, except those of its connection. A Content-Type or Date that the upstream
// did not send is set to nil, so that net/http adds none.
func (x *exchange) copyHeader(from http.Header) {
	header := x.w.Header()
	maps.Copy(header, from)
	for _, named := range from.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	if x.closeConnection || x.server.Phase() != drain.Serving {
		header.Set("Connection", "close")
	}
	if _, given := header["Content-Type"]; !given {
		header["Content-Type"] = nil
	}
	if _, given := header["Date"]; !given {
		header["Date"] = nil
	}
}
