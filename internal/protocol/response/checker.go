package response

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// Errors of Check.
var (
	// ErrUnsound means that a response is not sound HTTP/1.1.
	ErrUnsound = errors.New("response is not sound HTTP/1.1")
	// ErrHeadTooLong means that a head is longer than allowed.
	ErrHeadTooLong = errors.New("head of the response is too long")
)

// maxChunkLineBytes is as much as net/http reads of a line with the size of a chunk.
const maxChunkLineBytes = 4 << 10

// part is what comes next in the bytes of a connection.
type part int

const (
	nothing part = iota
	statusLine
	fieldLine
	sizedBody
	bodyToEnd
	chunkLine
	chunkData
	chunkEnd
	trailerLine
)

// Checker checks the bytes of the responses on one connection in the order in which they come. It is not safe for concurrent use.
type Checker struct {
	// MaxHeadBytes limits the head of a response together with those of the interim responses before it, and its trailers by
	// themselves.
	MaxHeadBytes int

	next part
	// method is the method of the request.
	method string
	head   head
	// line holds the part of an unfinished line that has come, and lineBytes the length of the lines that count for the limit.
	line      []byte
	lineBytes int
	// left is how many bytes of a body or a chunk are still to come.
	left  int64
	fault error
}

// Begin tells the checker that the response to a request with a method comes next. The method decides whether it has a body.
func (c *Checker) Begin(method string) {
	c.next, c.method = statusLine, method
	c.head, c.lineBytes = head{}, 0
}

// Done reports whether no response is under way.
func (c *Checker) Done() bool { return c.next == nothing }

// Fault returns the error that Check has returned, nil if all bytes were sound.
func (c *Checker) Fault() error { return c.fault }

// Check checks further bytes, and returns how many of them are sound. If these are not all, it returns an error that wraps
// ErrUnsound or ErrHeadTooLong, and so does each later call.
func (c *Checker) Check(data []byte) (sound int, err error) {
	for sound < len(data) && c.fault == nil {
		var n int
		n, c.fault = c.step(data[sound:])
		sound += n
	}
	return sound, c.fault
}

// step checks the bytes up to the end of a part, and returns their number.
func (c *Checker) step(data []byte) (int, error) {
	switch c.next {
	case nothing:
		return 0, unsound("bytes after its end")
	case bodyToEnd:
		return len(data), nil
	case sizedBody, chunkData:
		return c.skip(data), nil
	}
	return c.addToLine(data)
}

// skip passes over bytes of a body.
func (c *Checker) skip(data []byte) int {
	n := min(c.left, int64(len(data)))
	c.left -= n
	switch {
	case c.left > 0:
	case c.next == chunkData:
		c.next = chunkEnd
	default:
		c.next = nothing
	}
	return int(n)
}

// addToLine adds bytes to the line that is under way, and checks the line if it ends in them. The end of a line with a fault is
// not sound, so that nobody takes it for a whole one.
func (c *Checker) addToLine(data []byte) (int, error) {
	end := bytes.IndexByte(data, '\n')
	n := end + 1
	if end < 0 {
		n = len(data)
	}
	if err := c.countLine(n); err != nil {
		return 0, err
	}
	if end < 0 {
		c.line = append(c.line, data...)
		return n, nil
	}
	line := data[:n]
	if len(c.line) > 0 {
		line = append(c.line, line...)
		c.line = line[:0]
	}
	text, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found {
		return end, unsound("line that does not end with CR LF")
	}
	if err := c.endLine(string(text)); err != nil {
		return end, err
	}
	return n, nil
}

// countLine counts bytes of a line for the limit that applies to it.
func (c *Checker) countLine(n int) error {
	c.lineBytes += n
	switch {
	case c.next == chunkLine || c.next == chunkEnd:
		if c.lineBytes > maxChunkLineBytes {
			return unsound("line with the size of a chunk that is longer than %d bytes", maxChunkLineBytes)
		}
	case c.lineBytes > c.MaxHeadBytes:
		return fmt.Errorf("%w: more than %d bytes", ErrHeadTooLong, c.MaxHeadBytes)
	}
	return nil
}

// endLine checks a line, without its end, and determines what comes next.
func (c *Checker) endLine(line string) error {
	switch c.next {
	case statusLine:
		c.next = fieldLine
		return c.head.readStatus(line)
	case fieldLine:
		if line == "" {
			return c.endHead()
		}
		return c.head.readField(line)
	case trailerLine:
		if line == "" {
			c.next = nothing
			return nil
		}
		return checkTrailer(line)
	case chunkLine:
		return c.beginChunk(line)
	case chunkEnd:
		if line != "" {
			return unsound("chunk longer than its size")
		}
		c.next, c.lineBytes = chunkLine, 0
	}
	return nil
}

// endHead determines where the body ends (RFC 9112, section 6.3).
func (c *Checker) endHead() error {
	framing, err := c.head.framing()
	if err != nil {
		return err
	}
	c.line = nil // a connection may be idle for long
	switch {
	case c.head.interim():
		c.next, c.head = statusLine, head{}
	case c.method == http.MethodHead || c.head.bodyless():
		c.next = nothing
	case framing == chunked:
		c.next, c.lineBytes = chunkLine, 0
	case framing == untilEnd:
		c.next = bodyToEnd
	case framing == 0:
		c.next = nothing
	default:
		c.next, c.left = sizedBody, framing
	}
	return nil
}

// beginChunk reads the size of a chunk; the last one has size 0.
func (c *Checker) beginChunk(line string) error {
	size, err := parseChunkLine(line)
	if err != nil {
		return err
	}
	c.lineBytes = 0
	c.next, c.left = chunkData, size
	if size == 0 {
		c.next = trailerLine
	}
	return nil
}

// unsound returns an error that says what is wrong with a response.
func unsound(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrUnsound, fmt.Sprintf(format, args...))
}
