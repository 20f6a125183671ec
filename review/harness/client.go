package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// consumer is a consumer's connection to an entry VM.
type consumer struct {
	conn    net.Conn
	reader  *bufio.Reader
	journal *journal
}

// connect opens a consumer's connection, which may take a second.
func connect(j *journal, n *node) (*consumer, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.Dial("tcp", n.Front) //nolint:noctx // it has a timeout
	if err != nil {
		return nil, err
	}
	return &consumer{
		conn:    conn,
		reader:  bufio.NewReader(conn),
		journal: j,
	}, nil
}

// newID returns the ID of a new attempt.
func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// request is one attempt of a consumer.
type request struct {
	id, method, path, header, body string
	limitMS                        int
}

// answer is what a consumer got.
type answer struct {
	status int
	stamp  string
	body   string
	whole  bool
	// closes reports that the connection is closed after the answer.
	closes  bool
	failure error
}

// send writes a request.
func (c *consumer) send(r request) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: %s%s\r\n%s", r.method, r.path, host,
		names["attempt"], r.id, names["deadline"], r.limitMS, names["key-scheme"], apiKey, r.header)
	if r.body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n" + r.body)
	c.journal.note("consumer sends request %s (%s %s)", r.id, r.method, r.path)
	_, err := io.WriteString(c.conn, text.String())
	return err
}

// receive reads the answer to a request within its time limit.
func (c *consumer) receive(r request) (got answer) {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Duration(r.limitMS) * time.Millisecond))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		got.failure = err
		c.journal.note("request %s has no answer: %v", r.id, err)
		return got
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	got = answer{
		status:  response.StatusCode,
		stamp:   response.Header.Get(names["stamp"]),
		body:    string(body),
		whole:   err == nil,
		closes:  response.Close,
		failure: err,
	}
	ends := "whole"
	if err != nil {
		ends = "broken off: " + err.Error()
	}
	c.journal.note("request %s is answered %d, stamp %q, %d bytes, %s", r.id, got.status, got.stamp, len(got.body), ends)
	return got
}

// ask sends a request and returns its answer.
func (c *consumer) ask(r request) answer {
	if err := c.send(r); err != nil {
		return answer{failure: err}
	}
	return c.receive(r)
}

func (c *consumer) close() { _ = c.conn.Close() }

// booking returns a request that must not run twice.
func booking() request {
	return request{
		id:      newID(),
		method:  http.MethodPost,
		path:    pathBooking + "2f",
		body:    "one billet",
		limitMS: bookingLimit,
	}
}

// status returns a request that may be repeated.
func status() request {
	return request{
		id:      newID(),
		method:  http.MethodGet,
		path:    pathStatus + "2f",
		limitMS: bookingLimit,
	}
}
