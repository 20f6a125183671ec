package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

// upstream accepts connections on a loopback address. serve receives the number of the connection and that of the
// request on it, and returns what to write and whether to keep the connection open.
func upstream(
	t *testing.T, serve func(conn, request int) (text string, keepOpen bool),
) (address string, arrivals chan string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	arrivals = make(chan string, 100)
	go func() {
		for conn := 0; ; conn++ {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = raw.Close() }()
				reader := bufio.NewReader(raw)
				for request := 0; ; request++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					arrivals <- r.Method + " " + r.RequestURI + " " + string(body)
					text, keepOpen := serve(conn, request)
					_, _ = io.WriteString(raw, text)
					if !keepOpen {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), arrivals
}

func exchange(t *testing.T, p *Pool, address, method string) (body string, sent bool, err error) {
	t.Helper()
	c, err := p.Get(t.Context(), address, "id")
	if err != nil {
		return "", false, err
	}
	response, sent, err := c.Send(t.Context(), Request{
		Method: method,
		Target: "/a%2Fb//c?q=1",
		Host:   "h",
		Header: http.Header{"Idempotency-Key": {"k"}},
	})
	if err != nil {
		return "", sent, err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		response.Discard()
		return "", true, err
	}
	response.Release(p, 0)
	return string(text), true, nil
}

func TestConnectionIsReusedAndTheTargetUnchanged(t *testing.T) {
	is := is.New(t)
	address, arrivals := upstream(t, func(int, int) (string, bool) { return completeResponse, true })
	p := NewPool()
	for range 3 {
		body, _, err := exchange(t, p, address, http.MethodGet)
		is.NoErr(err)
		is.Equal(body, "good")
		is.Equal(<-arrivals, "GET /a%2Fb//c?q=1 ")
	}
	opened, reused := p.Counts()
	is.Equal(opened, int64(1))
	is.Equal(reused, int64(2))
}

// TestFailedRequestIsNotRepeated has an upstream close a reused connection after it has read the second request: a GET
// without a body and with an idempotency key, which net/http would send again by itself.
func TestFailedRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	address, arrivals := upstream(t, func(_, request int) (string, bool) {
		if request == 0 {
			return completeResponse, true
		}
		return "", false
	})
	p := NewPool()
	_, _, err := exchange(t, p, address, http.MethodGet)
	is.NoErr(err)
	<-arrivals
	_, sent, err := exchange(t, p, address, http.MethodGet)
	is.True(err != nil)
	is.True(sent)
	<-arrivals
	select {
	case again := <-arrivals:
		t.Fatal("request was repeated: " + again)
	default:
	}
}

func TestIdleConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	for name, extra := range map[string]string{
		"a second response":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"the end of the connection": "",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := upstream(t, func(conn, request int) (string, bool) {
				if conn == 0 && request == 0 {
					return completeResponse + extra, extra != ""
				}
				return strings.ReplaceAll(completeResponse, "good", "next"), true
			})
			p := NewPool()
			_, _, err := exchange(t, p, address, http.MethodGet)
			is.NoErr(err)
			for { // until the extra bytes or the end of the connection have arrived
				c := p.pop(address)
				if c == nil {
					break
				}
				if !c.reusable() {
					p.Put(c, time.Minute)
					break
				}
				p.Put(c, time.Minute)
			}
			body, _, err := exchange(t, p, address, http.MethodGet)
			is.NoErr(err)
			is.Equal(body, "next")
			opened, _ := p.Counts()
			is.Equal(opened, int64(2))
		})
	}
}

func TestConnectionsThatCannotBeReused(t *testing.T) {
	for name, text := range map[string]string{
		"announced close": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood",
		"no length":       "HTTP/1.1 200 OK\r\n\r\ngood",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := upstream(t, func(int, int) (string, bool) { return text, false })
			p := NewPool()
			for range 2 {
				body, _, err := exchange(t, p, address, http.MethodPost)
				is.NoErr(err)
				is.Equal(body, "good")
			}
			opened, _ := p.Counts()
			is.Equal(opened, int64(2))
		})
	}
}

func TestResponseBeforeTheRequestBodyIsRead(t *testing.T) {
	is := is.New(t)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = raw.Close() }()
		_, _ = raw.Read(make([]byte, 10))
		_, _ = io.WriteString(raw, "HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n")
		_, _ = raw.Read(make([]byte, 1))
		for { // until the client closes the connection
			if _, err := raw.Read(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}()
	p := NewPool()
	c, err := p.Get(t.Context(), listener.Addr().String(), "id")
	is.NoErr(err)
	response, _, err := c.Send(t.Context(), Request{
		Method: http.MethodPost,
		Target: "/",
		Host:   "h",
		Body:   [][]byte{make([]byte, 64<<20)},
	})
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
	response.Release(p, 0)
	is.True(p.pop(listener.Addr().String()) == nil) // the rest of the request body was not written
}

func TestContextEndClosesTheConnection(t *testing.T) {
	is := is.New(t)
	address, arrivals := upstream(t, func(int, int) (string, bool) { select {} })
	p := NewPool()
	ctx, cancel := context.WithCancel(t.Context())
	c, err := p.Get(ctx, address, "id")
	is.NoErr(err)
	go func() {
		<-arrivals
		cancel()
	}()
	_, sent, err := c.Send(ctx, Request{
		Method: http.MethodGet,
		Target: "/",
		Host:   "h",
	})
	is.True(err != nil)
	is.True(sent)
	_, sent, err = c.Send(ctx, Request{})
	is.True(err != nil)
	is.True(!sent) // nothing is sent after the context has ended
}

// TestIdleConnectionsAreBounded guards against idle connections to many upstreams that fill memory and descriptors. Those
// unused for longest are closed, so that the ones to upstreams in use stay.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := NewPool()
	p.MaxIdle = 3
	p.Dial = func(context.Context, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return near, nil
	}
	open := make([]*Conn, 5)
	for range 2 { // the count must be right after connections were reused and closed
		for i := range open {
			c, err := p.Get(t.Context(), string(rune('a'+i)), "id")
			is.NoErr(err)
			open[i] = c
		}
		for _, c := range open {
			p.Put(c, 0)
		}
		for i, c := range open {
			err := c.net.SetDeadline(time.Time{}) // fails once it is closed
			is.Equal(err == nil, i >= len(open)-p.MaxIdle)
		}
		is.Equal(p.order.Len(), p.MaxIdle)
	}
	p.CloseIdle(time.Now().Add(time.Hour))
	is.Equal(p.order.Len(), 0)
	is.Equal(len(p.idle), 0)
	opened, reused := p.Counts()
	is.Equal(opened, int64(7))
	is.Equal(reused, int64(3))
}

// TestConnectionsOutliveAShortSilence guards against connections that fail since the other VM was silent for a second or so: one
// is noticed to be silent up to a probe interval before the silence began, and TCP_USER_TIMEOUT ends it whatever the count of
// probes.
func TestConnectionsOutliveAShortSilence(t *testing.T) {
	const silence = 1800 * time.Millisecond
	is := is.New(t)
	is.True(DefaultUnackedTimeout-keepAliveInterval >= silence)
}
