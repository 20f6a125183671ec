package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Listen accepts connections on a loopback address until the context ends, and has each handled in a goroutine.
func Listen(ctx context.Context, handle func(conn net.Conn)) (address string, err error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String(), nil
}

// ServeRaw answers each request to a loopback address with a raw text, and closes the connection. It ends with the context.
func ServeRaw(ctx context.Context, answer string) (address string, err error) {
	return Listen(ctx, func(conn net.Conn) { answerRaw(conn, answer) })
}

func answerRaw(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, answer)
}

// UnsoundAnswers returns answers with a body, by what is not sound HTTP/1.1 about them.
func UnsoundAnswers(body string) map[string]string {
	answers := map[string]string{}
	size := len(body)
	for name, head := range map[string]string{
		"status under 100":              fmt.Sprintf("HTTP/1.1 000 X\r\nContent-Length: %d\r\n", size),
		"blank at the start of a name":  fmt.Sprintf("HTTP/1.1 200 X\r\nDate: x\r\n Content-Length: %d\r\n", size),
		"blank inside a name":           fmt.Sprintf("HTTP/1.1 200 X\r\nContent -Length: %d\r\n", size),
		"blank before the colon":        fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length : %d\r\n", size),
		"blank in a name of no framing": fmt.Sprintf("HTTP/1.1 200 X\r\nOther X: 1\r\nContent-Length: %d\r\n", size),
		"version 2.0":                   fmt.Sprintf("HTTP/2.0 200 X\r\nContent-Length: %d\r\n", size),
	} {
		answers[name] = head + "\r\n" + body
	}
	answers["length and chunks"] = fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, size, body)
	answers["blank after the size of a chunk"] = fmt.Sprintf("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x \r\n%s\r\n0\r\n\r\n", size, body)
	return answers
}
