package gateway

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lagoongw/internal/coordination/attempt"
	"lagoongw/internal/coordination/drain"
	"lagoongw/internal/coordination/memory"
)

// maxBufferedAnswerBytes is the size from which an answer is sent to the caller as it arrives; shorter ones are read
// completely first, if the memory allows.
const maxBufferedAnswerBytes = 256 << 10

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

// bufferedAnswer is an upstream's answer that the caller has not been sent yet.
type bufferedAnswer struct {
	status int
	header http.Header
	// body holds the blocks of the body.
	body   [][]byte
	memory memory.Reservation
}

// readAnswer reads the body of an answer and releases the connection. If the body is too long, or the memory doesn't
// allow to hold all of it, more is true and the rest is still to be read.
func (x *exchange) readAnswer(s *upstreamSend) (answer *bufferedAnswer, more bool, err error) {
	answer = &bufferedAnswer{
		status: s.response.StatusCode,
		header: s.response.Header,
		memory: x.server.Memory.NewReservation(memory.Answers),
	}
	size := int64(minBlock)
	if length := s.response.ContentLength; length >= 0 {
		size = min(max(length, 1), maxBufferedAnswerBytes)
	}
	for ; ; size = min(2*size, maxBlock) {
		size = min(size, maxBufferedAnswerBytes-answer.memory.Bytes())
		if size == 0 || !answer.memory.Grow(size) {
			return answer, true, nil
		}
		block := make([]byte, size)
		n, err := fill(s.response.Body, block)
		answer.body = append(answer.body, block[:n])
		switch {
		case errors.Is(err, io.EOF):
			s.response.Release(x.server.Connections, s.reply.IdleTimeout)
			return answer, false, nil
		case err != nil:
			s.response.Discard()
			answer.release()
			return nil, false, err
		}
	}
}

// release returns the memory of the body.
func (b *bufferedAnswer) release() {
	if b != nil {
		b.body = nil
		b.memory.Resize(0)
	}
}

// length returns the length of the body.
func (b *bufferedAnswer) length() int {
	length := 0
	for _, block := range b.body {
		length += len(block)
	}
	return length
}

// writeBody writes the body to the caller.
func (b *bufferedAnswer) writeBody(w io.Writer) error {
	for _, block := range b.body {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// bufferAnswer reads an answer that is not a stream, and keeps it for finish; a long one is sent to the caller
// directly.
func (x *exchange) bufferAnswer(s *upstreamSend) (attempt.Result, error) {
	answer, more, err := x.readAnswer(s)
	now := time.Now()
	if err == nil && more && s.response.StatusCode >= http.StatusInternalServerError && x.replaces(s) {
		answer.release()
		s.response.Discard()
		x.server.Dispatcher.Failed(s.upstream, now)
		return attempt.Failed, errErrorNotHeld
	}
	if err == nil && more {
		x.setBuffered(nil)
		err = x.passOnAnswer(s, answer)
	}
	if err != nil {
		x.server.Dispatcher.Failed(s.upstream, now)
		x.suspectCrash(s, err)
		return attempt.Lost, err
	}
	if more {
		x.recordLongAnswer(s, now)
		return attempt.Answered, nil
	}
	x.recordWhole(s)
	x.setBuffered(answer)
	if s.response.StatusCode >= http.StatusInternalServerError {
		x.server.Dispatcher.Failed(s.upstream, now)
		return attempt.Failed, nil
	}
	x.server.Dispatcher.Succeeded(s.upstream, now.Sub(s.started), now)
	return attempt.Answered, nil
}

// replaces reports whether another send is certain, which may bring a better answer than one that can't be held until then.
func (x *exchange) replaces(s *upstreamSend) bool {
	if !x.attempts.MayRepeat(time.Now()) || x.probe || x.repeatQuarantined() {
		return false
	}
	x.next = x.secureNext(x.ctx, s.upstream)
	return x.next != nil
}

// setBuffered replaces the buffered answer; nil drops it.
func (x *exchange) setBuffered(answer *bufferedAnswer) {
	x.buffered.release()
	x.buffered = answer
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

// passOnAnswer sends the caller an answer of which only the beginning could be buffered, as it arrives; from its first
// byte on, no other answer can be given.
func (x *exchange) passOnAnswer(s *upstreamSend, begun *bufferedAnswer) error {
	x.copyHeader(s.response.Header)
	if s.response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(s.response.ContentLength, 10))
	}
	x.w.WriteHeader(s.response.StatusCode)
	x.progress.headWritten = true
	x.attempts.MarkStreaming()
	x.attempts.Repeatable = false // another answer can't continue the part already sent
	err := begun.writeBody(x.w)
	begun.release()
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
	x.w.Header().Set("Content-Length", strconv.Itoa(x.buffered.length()))
	x.w.WriteHeader(x.buffered.status)
	return x.buffered.writeBody(x.w)
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
