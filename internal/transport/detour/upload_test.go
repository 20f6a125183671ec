package detour

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lagoongw/internal/transport/connection"
)

// TestResetDuringAnUploadIsNotTheEndOfTheUpstreamsBytes guards against a part of an answer without a length that another node takes for
// whole, as what the node between wrote to the upstream was what learned of the reset.
func TestResetDuringAnUploadIsNotTheEndOfTheUpstreamsBytes(t *testing.T) {
	server := newServer()
	server.Dial = connection.NewPool().DialDirect
	address := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 10))
		_, _ = io.WriteString(conn, "part")
		time.Sleep(2 * time.Millisecond)
		connection.Reset(conn)
	})
	request := strings.Repeat("upload ", 1<<20)
	for range 300 {
		conn := through(t, server, address)
		go func() { _, _ = io.WriteString(conn, request) }()
		_, err := io.ReadAll(conn)
		_ = conn.Close()
		if err == nil {
			t.Fatal("a part of an answer was taken for whole")
		}
	}
}

// TestAnswerThatEndsDuringTheUploadIsWholeThroughANode guards against an answer without a length that counts as broken since the
// upstream does not read the rest of the request.
func TestAnswerThatEndsDuringTheUploadIsWholeThroughANode(t *testing.T) {
	server := newServer()
	server.Dial = connection.NewPool().DialDirect
	address := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 10))
		_, _ = io.WriteString(conn, "all of it")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(time.Second)
		_ = conn.Close()
	})
	request := strings.Repeat("upload ", 1<<20)
	conn := through(t, server, address)
	go func() { _, _ = io.WriteString(conn, request) }()
	text, err := io.ReadAll(conn)
	if err = errors.Join(err, conn.Close()); err != nil || string(text) != "all of it" {
		t.Fatalf("got %q, %v", text, err)
	}
}
