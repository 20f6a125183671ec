package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"lagoongw/internal/transport/connection"
)

const (
	// defaultMaxBodyBytes limits a request's body if the routing table sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// requestBytes is what a request holds apart from its body and its header: stacks, buffers of the connection to the
	// upstream, the header of the answer, and what was decoded.
	requestBytes = 32<<10 + connection.MaxHeadBytes
	// minBlock and maxBlock are the sizes of the first block and of the largest ones in which a body without a length is
	// read.
	minBlock = 4 << 10
	maxBlock = 64 << 10
	// maxSkippedBytes is the length from which the connection is closed rather than the rest of a refused body read.
	maxSkippedBytes = 16 << 10
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

// readBody reads the body within the limits of the operator and of the memory. It fails when the time for the whole
// request is up, so that a caller that stops sending doesn't hold memory for longer.
func (x *exchange) readBody(r *http.Request) *localAnswer {
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return x.bodyTooLong()
	}
	controller := http.NewResponseController(x.w)
	_ = controller.SetReadDeadline(x.started.Add(x.timeout()))
	var answer *localAnswer
	if r.ContentLength > 0 {
		answer = x.readBlock(r, r.ContentLength)
	} else {
		answer = x.readBlocks(r, limit)
	}
	if answer == nil {
		x.bodyUnread = false
		_ = controller.SetReadDeadline(time.Time{})
	}
	return answer
}

func (x *exchange) bodyTooLong() *localAnswer {
	x.closeAfterAnswer()
	return &localAnswer{
		status: http.StatusRequestEntityTooLarge,
		reason: "body longer than allowed",
	}
}

// readBlock reads a body of known length.
func (x *exchange) readBlock(r *http.Request, size int64) *localAnswer {
	if !x.requestMemory.Grow(size) {
		return x.refuseForMemory(r)
	}
	block := make([]byte, size)
	if _, err := fill(r.Body, block); err != nil && !errors.Is(err, io.EOF) {
		return x.bodyLost(err)
	}
	x.body = [][]byte{block}
	return nil
}

// readBlocks reads a body that doesn't say its length.
func (x *exchange) readBlocks(r *http.Request, limit int64) *localAnswer {
	left := limit
	for size := int64(minBlock); ; size = min(2*size, maxBlock) {
		block := min(size, left+1) // one byte more shows that the body is too long
		if !x.requestMemory.Grow(block) {
			return x.refuseForMemory(r)
		}
		data := make([]byte, block)
		n, err := fill(r.Body, data)
		left -= int64(n)
		if left < 0 {
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
			reason: fmt.Sprintf("body not sent within %v; the request has not run", x.timeout()),
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
