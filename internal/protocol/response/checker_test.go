package response

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

const testHeadBytes = 200

// answers are whole or malformed responses to requests with a method, GET where none is given.
var answers = []struct{ method, text string }{
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 \r\ncontent-length:\t4 \r\nX:\r\n\r\nbody"},
	{text: "HTTP/1.0 404 Not Found \xfc\r\nX: \xfc\xff\r\nContent-Length: 0\r\n\r\n"},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nb"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n00A;a=b;c;d=\"e;\\\"\xff\"\r\n0123456789\r\n0\r\nX: y\r\n\r\n"},
	{text: "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n"},
	{text: "HTTP/1.1 304 X\r\nContent-Length: 4\r\n\r\n"},
	{text: "HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{method: "HEAD", text: "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n"},
	{method: "HEAD", text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\n\r\nas long as it comes"},
	// not whole
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"},
	// status lines
	{text: "HTTP/1.1 000 X\r\n\r\n"},
	{text: "HTTP/1.1 099 X\r\n\r\n"},
	{text: "HTTP/1.1 101 X\r\n\r\n"},
	{text: "HTTP/1.1 600 X\r\n\r\n"},
	{text: "HTTP/1.1 2000 X\r\n\r\n"},
	{text: "HTTP/1.1 +20 X\r\n\r\n"},
	{text: "HTTP/1.1 200\r\n\r\n"},
	{text: "HTTP/1.1  200 X\r\n\r\n"},
	{text: "HTTP/1.1 200 \x01\r\n\r\n"},
	{text: "HTTP/1.10 200 X\r\n\r\n"},
	{text: "HTTP/2.0 200 X\r\n\r\n"},
	{text: "http/1.1 200 X\r\n\r\n"},
	{text: "\r\nHTTP/1.1 200 X\r\n\r\n"},
	{text: "HTTP/1.1 200 X\n\n"},
	// field lines
	{text: "HTTP/1.1 200 X\r\n Content-Length: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nX: 1\r\n\tContent-Length: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent -Length: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length : 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent\x00Length: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length\xc2\xa0: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\n: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nX: secret\rContent-Length: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nX: secret\x7f\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nX: 1\nContent-Length: 4\r\n\r\nbody"},
	{text: "HTTP/1.1 103 X\r\nY X: 1\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nX: " + strings.Repeat("x", testHeadBytes) + "\r\n\r\n"},
	{text: strings.Repeat("HTTP/1.1 100 X\r\n\r\n", testHeadBytes/10)},
	// framing
	{text: "HTTP/1.1 200 X\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length: 4, 4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length: +4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length: 0x4\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length:\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length: 99999999999999999999\r\n\r\nbody"},
	{text: "HTTP/1.1 200 X\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding:\r\n\r\nbody"},
	{text: "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 204 X\r\n\r\nbody"},
	{text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody and more"},
	// chunks
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4 \r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4;\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4;a=\"b\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4;a=" + strings.Repeat("b", maxChunkLineBytes) + "\r\nbody\r\n0\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX : y\r\n\r\n"},
	{text: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n"},
}

// check returns what a checker says of a text that comes in pieces of a size.
func check(method, text string, size int) string {
	c := Checker{MaxHeadBytes: testHeadBytes}
	c.Begin(method)
	sound := 0
	for piece := range bytesOf(text, size) {
		n, err := c.Check(piece)
		sound += n
		if err != nil {
			return fmt.Sprintf("%d bytes, then %v", sound, err)
		}
	}
	if c.Done() {
		return "whole"
	}
	return "sound so far"
}

func bytesOf(text string, size int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for rest := []byte(text); len(rest) > 0; {
			n := min(size, len(rest))
			if !yield(rest[:n]) {
				return
			}
			rest = rest[n:]
		}
	}
}

func TestVerdicts(t *testing.T) {
	is := is.New(t)
	var got strings.Builder
	for _, answer := range answers {
		verdict := check(answer.method, answer.text, len(answer.text))
		_, _ = fmt.Fprintf(&got, "%s%.100q\n\t%s\n", answer.method, answer.text, verdict)
	}
	path := filepath.Join("testdata", "verdicts.txt")
	if *update {
		is.NoErr(os.WriteFile(path, []byte(got.String()), 0o600))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}

// TestVerdictsDoNotDependOnTheReads guards against an answer that is refused or accepted by where its packets begin. Only the count of
// the bytes before a line that is too long may differ.
func TestVerdictsDoNotDependOnTheReads(t *testing.T) {
	for _, answer := range answers {
		for size := range 12 {
			is := is.New(t)
			_, whole, _ := strings.Cut(check(answer.method, answer.text, len(answer.text)), "then")
			_, inPieces, _ := strings.Cut(check(answer.method, answer.text, size+1), "then")
			is.Equal(inPieces, whole)
		}
	}
}

// TestConnectionsCarrySeveralResponses guards against what is left of a response when the next one begins.
func TestConnectionsCarrySeveralResponses(t *testing.T) {
	is := is.New(t)
	c := Checker{MaxHeadBytes: testHeadBytes}
	for range 3 {
		for _, answer := range answers[:11] {
			c.Begin(answer.method)
			n, err := c.Check([]byte(answer.text))
			is.NoErr(err)
			is.Equal(n, len(answer.text))
			is.True(c.Done())
		}
	}
	_, err := c.Check([]byte("x"))
	is.True(errors.Is(err, ErrUnsound))
	_, again := c.Check(nil)
	is.Equal(again, err)
	is.Equal(c.Fault(), err)
}

// FuzzChecker looks for a response that net/http reads to another end than the checker.
func FuzzChecker(f *testing.F) {
	for _, answer := range answers {
		f.Add(answer.method, []byte(answer.text))
	}
	f.Fuzz(func(t *testing.T, method string, data []byte) {
		c := Checker{MaxHeadBytes: 16 << 10}
		c.Begin(method)
		for i := range data {
			if _, err := c.Check(data[i : i+1]); err != nil {
				return
			}
			if c.Done() {
				readWhole(t, method, data[:i+1])
				return
			}
		}
	})
}

// readWhole reads a response that the checker found whole. That net/http refuses it is no fault, but that it waits for more bytes, or
// leaves some.
func readWhole(t *testing.T, method string, data []byte) {
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err == nil && response.StatusCode < http.StatusOK {
			continue
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			t.Fatalf("net/http waits for more than %q", data)
		}
		if err == nil && reader.Buffered() > 0 {
			t.Fatalf("net/http leaves bytes of %q", data)
		}
		return
	}
}
