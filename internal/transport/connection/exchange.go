package connection

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// backgroundWriteBytes is the length from which a request's body is written while the response is read, since an
// upstream may respond before it has read the whole body.
const backgroundWriteBytes = 16 << 10

// Request is one HTTP request to an upstream.
type Request struct {
	Method string
	// Target is the path and query, which are sent unchanged.
	Target string
	Host   string
	Header http.Header
	// Body is sent block by block.
	Body [][]byte
	// HeaderDeadline, if set, is when Send gives up waiting for the response's header.
	HeaderDeadline time.Time
}

// Response is an upstream's response whose body is still to be read; Discard or Release must be called to end it.
type Response struct {
	*http.Response
	conn *Conn
	// writeResult receives the result of writing the request.
	writeResult chan error
	// stopWatching cancels the function that closes the connection when Send's context ends. It returns false if that
	// function has already started.
	stopWatching func() bool
}

// Send writes the request and reads the response's header; sent reports whether any byte may have left this VM. The
// connection is reset on an error, and when ctx ends.
func (c *Conn) Send(ctx context.Context, request Request) (response *Response, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		c.Close() // nothing was sent
		return nil, false, err
	}
	stopWatching := context.AfterFunc(ctx, c.Abort)
	writeResult := make(chan error, 1)
	bodyBytes := request.bodyBytes()
	message := append(net.Buffers{encodeHead(request, bodyBytes)}, request.Body...)
	if bodyBytes >= backgroundWriteBytes {
		go func() { writeResult <- c.write(message) }()
	} else {
		err = c.write(message)
		writeResult <- err
	}
	if err != nil {
		stopWatching()
		c.Abort()
		return nil, true, eris.Wrapf(closeReason(ctx, err), "send request to upstream %s", c.address)
	}
	_ = c.net.SetReadDeadline(request.HeaderDeadline)
	httpResponse, err := c.readHead(request.Method) //nolint:bodyclose // Discard or Release ends the response
	if err != nil {
		stopWatching()
		c.Abort()
		return nil, true, eris.Wrapf(closeReason(ctx, err), "read answer of upstream %s", c.address)
	}
	_ = c.net.SetReadDeadline(time.Time{})
	return &Response{
		Response:     httpResponse,
		conn:         c,
		writeResult:  writeResult,
		stopWatching: stopWatching,
	}, true, nil
}

// closeReason returns the context's error if the context has ended, since the connection was closed because of it;
// else it returns err.
func closeReason(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}

func (c *Conn) write(message net.Buffers) error {
	if s, ok := c.net.(*socket); ok {
		_, err := s.writeBuffers(message)
		return err
	}
	_, err := message.WriteTo(c.net)
	return err
}

func (r *Request) bodyBytes() int {
	size := 0
	for _, block := range r.Body {
		size += len(block)
	}
	return size
}

// encodeHead returns the request line and the headers, with a Content-Length so that the upstream knows where the body
// ends.
func encodeHead(request Request, bodyBytes int) []byte {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	_ = request.Header.Write(&head)
	if bodyBytes > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(bodyBytes))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// readHead reads the status line and the headers of the final response. It skips interim responses, which have a status
// 1xx.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.source.checker.Begin(method)
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, cmp.Or(c.source.checker.Fault(), err) // the fault says more
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Net returns the network connection, which must only be used to learn about it.
func (r *Response) Net() net.Conn { return r.conn.net }

// First reports whether this is the first answer on its connection, so that it can't be a copy of an earlier one.
func (r *Response) First() bool { return !r.conn.answered }

// RecordRefusal records that the answer refuses a request. The connection is not used for that request again, and is closed once
// it has carried many refusals.
func (r *Response) RecordRefusal(requestID string) { r.conn.refusals.add(requestID) }

// SetReadDeadline sets the time after which reads of the body fail.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.net.SetReadDeadline(t) }

// Discard resets the connection.
func (r *Response) Discard() {
	r.stopWatching()
	r.conn.Abort()
}

// Release returns the connection to the pool after the whole body was read; idle is the upstream's own idle timeout, 0
// if it announced none. A connection that can't carry another request is closed.
func (r *Response) Release(p *Pool, idle time.Duration) {
	stopped := r.stopWatching()
	r.conn.answered = true
	if p.OnAnswer != nil {
		p.OnAnswer(r.conn.address, r.conn.net)
	}
	unframed := r.ContentLength < 0 && len(r.TransferEncoding) == 0
	if !stopped || r.Close || unframed || !r.requestSent() || r.conn.refusals.full() {
		r.conn.Close()
		return
	}
	_ = r.conn.net.SetReadDeadline(time.Time{})
	p.Put(r.conn, idle)
}

// requestSent reports whether the request was written completely; it must be called at most once.
func (r *Response) requestSent() bool {
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false
	}
}
