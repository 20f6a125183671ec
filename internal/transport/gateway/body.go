package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"lagoongw/internal/coordination/memory"
	"lagoongw/internal/transport/connection"
)

const (
	// defaultMaxBodyBytes limits a request's body if the routing table sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// requestBytes is what a request holds apart from its body and its header: stacks, buffers of the connection to the
	// upstream, the header of the answer, and what was decoded.
	requestBytes = 32<<10 + connection.MaxHeadBytes
	// minBlock and maxBlock are the sizes of the first block and of the largest ones in which bodies of requests and of
	// answers are read.
	minBlock = 4 << 10
	maxBlock = 64 << 10
	// maxSkippedBytes is the length from which the connection is closed rather than the rest of a refused body read.
	maxSkippedBytes = 16 << 10
	// bodySilence is how long the next bytes of a body are waited for.
	bodySilence = 2 * time.Second
	// skippedBodyWait is how long the rest of a body is waited for when the request is answered without it, so that the
	// connection can be used again; net/http reads it before or after the answer.
	skippedBodyWait = 100 * time.Millisecond
)

// reserve takes the memory of a request without a body.
func (x *exchange) reserve(r *http.Request) *localAnswer {
	if x.requestMemory.Grow(requestBytes + int64(headerBytes(r))) {
		return nil
	}
	return x.refuseForMemory(r)
}

// refuseForMemory refuses a request for which there is no room; other nodes may have some.
func (x *exchange) refuseForMemory(r *http.Request) *localAnswer {
	if r.ContentLength < 0 || r.ContentLength > maxSkippedBytes {
		x.closeAfterAnswer()
	}
	return &localAnswer{
		status:     http.StatusServiceUnavailable,
		reason:     "no memory left at this entry VM for the request; it has not run",
		retryAfter: retryAfterFull,
	}
}

// closeAfterAnswer closes the caller's connection after the answer.
func (x *exchange) closeAfterAnswer() {
	x.closeConnection = true
	x.w.Header().Set("Connection", "close")
}

// readBody reads the body within the limits of the operator and of the memory. It fails when the caller stops sending,
// or the time for the whole request is up, so that memory isn't held for longer.
func (x *exchange) readBody(r *http.Request) *localAnswer {
	limit := x.settings.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return x.bodyTooLong()
	}
	if r.ContentLength > 0 && !x.server.Memory.Fits(memory.Requests, r.ContentLength) {
		return x.refuseForMemory(r)
	}
	if answer := x.readBlocks(r, limit); answer != nil {
		return answer
	}
	x.bodyUnread = false
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	return nil
}

func (x *exchange) bodyTooLong() *localAnswer {
	x.closeAfterAnswer()
	return &localAnswer{
		status: http.StatusRequestEntityTooLarge,
		reason: "body longer than allowed",
	}
}

// readBlocks reads a body, and reserves the memory of each block only when the block before it has arrived.
func (x *exchange) readBlocks(r *http.Request, limit int64) *localAnswer {
	left := limit + 1 // one byte more shows that a body without a length is too long
	if r.ContentLength > 0 {
		left = r.ContentLength
	}
	from := timedReader{
		Reader:     r.Body,
		controller: http.NewResponseController(x.w),
		deadline:   x.started.Add(x.timeout()),
	}
	for size := int64(minBlock); left > 0; size = min(2*size, maxBlock) {
		block := min(size, left)
		if !x.requestMemory.Grow(block) {
			return x.refuseForMemory(r)
		}
		data := make([]byte, block)
		n, err := fill(from, data)
		left -= int64(n)
		if left == 0 && r.ContentLength < 0 {
			return x.bodyTooLong()
		}
		if n > 0 {
			x.body = append(x.body, data[:n])
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return x.bodyLost(err)
		}
	}
	return nil
}

// timedReader reads a request's body; a read fails when no byte has come for bodySilence, or at the deadline.
type timedReader struct {
	io.Reader
	controller *http.ResponseController
	deadline   time.Time
}

// Read sets the deadline of the connection, and reads.
func (t timedReader) Read(buffer []byte) (int, error) {
	at := time.Now().Add(bodySilence)
	if at.After(t.deadline) {
		at = t.deadline
	}
	_ = t.controller.SetReadDeadline(at)
	return t.Reader.Read(buffer)
}

// fill reads until the block is full, and returns the reader's own error. io.ReadFull would report a body that was cut
// like one that has ended.
func fill(from io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = from.Read(block[n:])
		n += read
	}
	return n, err
}

func (x *exchange) bodyLost(err error) *localAnswer {
	x.closeAfterAnswer()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &localAnswer{
			status: http.StatusRequestTimeout,
			reason: fmt.Sprintf("no further byte of the body for %v, or not all of it within %v; the request has not run",
				bodySilence, x.timeout()),
		}
	}
	return &localAnswer{
		status: http.StatusBadRequest,
		reason: "body could not be read whole: " + err.Error(),
	}
}

// releaseMemory returns all that the request has reserved.
func (x *exchange) releaseMemory() {
	x.requestMemory.Resize(0)
	x.setBuffered(nil)
}
