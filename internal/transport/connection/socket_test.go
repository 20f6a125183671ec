package connection

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/test/standin"
)

// early accepts connections on a loopback address, sends begunAnswer once the first bytes of a request have come, and calls end once
// the channel is closed or receives.
func early(t *testing.T, proceed <-chan struct{}, end func(conn *net.TCPConn)) (address string) {
	t.Helper()
	address, err := standin.Listen(t.Context(), func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 10))
		_, _ = io.WriteString(conn, begunAnswer)
		<-proceed
		end(conn.(*net.TCPConn))
	})
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// earlyReset is early with connections that are reset just after the text.
func earlyReset(t *testing.T) (address string) {
	t.Helper()
	proceed := make(chan struct{})
	close(proceed)
	return early(t, proceed, func(conn *net.TCPConn) {
		time.Sleep(2 * time.Millisecond)
		Reset(conn)
	})
}

func upload(t *testing.T, p *Pool, address string, size int) *Response {
	t.Helper()
	c, err := p.Get(t.Context(), address, "id")
	if err != nil {
		t.Fatal(err)
	}
	response, _, err := c.Send(t.Context(), Request{
		Method: http.MethodPost,
		Target: "/",
		Host:   "h",
		Body:   [][]byte{make([]byte, size)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return response
}

const (
	uploadBytes = 64 << 20 // more than the kernel holds
	begunAnswer = "HTTP/1.1 200 X\r\n\r\npart"
)

// TestResetDuringAnUploadIsNotTheEndOfTheAnswer guards against a part of an answer without a length that is taken for whole, as the
// write of the request was what learned that the connection was reset.
func TestResetDuringAnUploadIsNotTheEndOfTheAnswer(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	response := upload(t, NewPool(), early(t, proceed, func(conn *net.TCPConn) { Reset(conn) }), uploadBytes)
	_, err := io.ReadFull(response.Body, make([]byte, len("part")))
	is.NoErr(err)
	close(proceed)
	for end := time.Now().Add(20 * time.Second); len(response.writeResult) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(response.writeResult), 1) // the write has failed
	_, err = io.ReadAll(response.Body)
	is.True(errors.Is(err, syscall.ECONNRESET))
	response.Discard()
}

// TestResetDuringUploadsBesideAReadIsNotTheEndOfTheAnswer is the same with a read that waits while the connection is reset.
func TestResetDuringUploadsBesideAReadIsNotTheEndOfTheAnswer(t *testing.T) {
	address := earlyReset(t)
	p := NewPool()
	for range 300 {
		response := upload(t, p, address, 8<<20)
		if _, err := io.ReadAll(response.Body); err == nil {
			t.Fatal("a part of an answer was taken for whole")
		}
		response.Discard()
	}
}

// TestAnswerThatEndsDuringTheUploadIsWhole guards against an answer without a length that counts as broken since the upstream does
// not read the rest of the request.
func TestAnswerThatEndsDuringTheUploadIsWhole(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"upstream still open": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
		"upstream closes after its end": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = conn.Close() // a reset, as bytes of the request are unread
		},
	} {
		for reading, wait := range map[string]time.Duration{", read at once": 0, ", read later": 200 * time.Millisecond} {
			t.Run(name+reading, func(t *testing.T) {
				is := is.New(t)
				proceed := make(chan struct{})
				close(proceed)
				response := upload(t, NewPool(), early(t, proceed, end), uploadBytes)
				time.Sleep(wait)
				text, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(text), "part")
				response.Release(NewPool(), 0)
			})
		}
	}
}

// TestResetDuringUploadsOfATransportIsNotTheEndOfTheAnswer guards against the same at the clients that use net/http.
func TestResetDuringUploadsOfATransportIsNotTheEndOfTheAnswer(t *testing.T) {
	address := earlyReset(t)
	client := http.Client{Transport: &http.Transport{DialContext: CheckResponses(NewDialer(time.Second, time.Second).DialContext)}}
	for range 300 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, 8<<20)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			continue // the write failed first
		}
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			t.Fatal("a part of an answer was taken for whole")
		}
	}
}
