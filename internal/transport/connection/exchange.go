package connection

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// backgroundBody is the length from which a body is written beside the reading of the answer, since an upstream may
// answer before it has read all of it.
const backgroundBody = 16 << 10

// Request is one request as it is sent to an upstream.
type Request struct {
	Method string
	// Target is the path and query, sent as they are.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HeaderDeadline, when set, is when an answer that has not begun is given up.
	HeaderDeadline time.Time
}

// Response is the head of an upstream's answer, with its body still to be read.
type Response struct {
	*http.Response
	conn    *Conn
	written chan error
	stop    func() bool
}

// Send writes the request and reads the answer's head; sent tells whether any byte may have left. When the context ends,
// the connection is closed.
func (c *Conn) Send(ctx context.Context, request Request) (response *Response, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		c.Close()
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	written := make(chan error, 1)
	head := encode(request)
	if len(request.Body) >= backgroundBody {
		go func() { written <- c.write(head, request.Body) }()
	} else {
		err = c.write(head, request.Body)
		written <- err
	}
	if err != nil {
		stop()
		c.Close()
		return nil, true, eris.Wrapf(cause(ctx, err), "send request to upstream %s", c.address)
	}
	_ = c.net.SetReadDeadline(request.HeaderDeadline)
	answer, err := c.readHead(request.Method) //nolint:bodyclose // Discard or Release ends the response
	if err != nil {
		stop()
		c.Close()
		return nil, true, eris.Wrapf(cause(ctx, err), "read answer of upstream %s", c.address)
	}
	_ = c.net.SetReadDeadline(time.Time{})
	return &Response{
		Response: answer,
		conn:     c,
		written:  written,
		stop:     stop,
	}, true, nil
}

// cause tells why the connection was closed, where this side closed it because the context ended.
func cause(ctx context.Context, err error) error {
	if ended := ctx.Err(); ended != nil {
		return ended
	}
	return err
}

func (c *Conn) write(head, body []byte) error {
	if len(body) == 0 {
		_, err := c.net.Write(head)
		return err
	}
	_, err := c.net.Write(append(head, body...))
	return err
}

// encode writes the request's head with a length, so that the upstream never has to guess where the body ends.
func encode(request Request) []byte {
	var head bytes.Buffer
	head.Grow(1024 + len(request.Body))
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	_ = request.Header.Write(&head)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(request.Body)))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK || answer.StatusCode == http.StatusSwitchingProtocols {
			return answer, nil
		}
	}
}

// SetReadDeadline ends reads that are still waiting at that time.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.net.SetReadDeadline(t) }

// Discard ends the connection.
func (r *Response) Discard() {
	r.stop()
	r.conn.Close()
}

// Release gives the connection back to the pool after the whole body was read; idle is as for Put. A connection that
// can't carry another request is closed.
func (r *Response) Release(p *Pool, idle time.Duration) {
	stopped := r.stop()
	unframed := r.ContentLength < 0 && len(r.TransferEncoding) == 0
	if !stopped || r.Close || unframed || !r.bodySent() {
		r.conn.Close()
		return
	}
	_ = r.conn.net.SetReadDeadline(time.Time{})
	p.Put(r.conn, idle)
}

// bodySent reports whether the request's body has left whole.
func (r *Response) bodySent() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
