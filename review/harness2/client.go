package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is what a consumer has received for one request.
type Answer struct {
	ID, Node string
	SentAt   time.Time
	// Status is 0 if no head of an answer has come, and Whole reports that the answer came to its end.
	Status int
	Whole  bool
	Body   string
	EndAt  time.Time
}

// Consumer sends requests of one kind, each on a new connection to one of the nodes that the directory names.
type Consumer struct {
	Path string
	// Limit is how long the consumer waits, and Pause the time between two requests.
	Limit, Pause time.Duration

	nodes   []*Node
	journal *Journal

	mu      sync.Mutex
	answers []Answer
}

// addressLife is how long a consumer keeps an answer of the directory.
const addressLife = time.Second

// Run sends requests until the context ends, without waiting for the answers, and returns once all have ended.
func (c *Consumer) Run(ctx context.Context) {
	var group sync.WaitGroup
	var addresses []string
	var resolvedAt time.Time
	ticker := time.NewTicker(c.Pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-ticker.C:
		}
		if time.Since(resolvedAt) > addressLife {
			if found := resolve(c.nodes); found != nil {
				addresses, resolvedAt = found, time.Now()
			}
		}
		if len(addresses) == 0 {
			continue
		}
		address := addresses[rand.IntN(len(addresses))]
		group.Go(func() { c.keep(c.Send(address, "")) })
	}
}

// Send sends one request to a node and reads the answer; after, if set, is the last event of the stream that it takes up.
func (c *Consumer) Send(address, after string) Answer {
	answer := Answer{
		ID:     fmt.Sprintf("%016x", rand.Uint64()),
		Node:   holder(c.nodes, address),
		SentAt: time.Now(),
	}
	c.journal.Note("send   %s %s to %s %s", answer.ID, c.Path, answer.Node, after)
	c.exchange(&answer, address, after)
	answer.EndAt = time.Now()
	text := strings.TrimSpace(answer.Body)
	if last := strings.LastIndex(text, "\n"); last >= 0 {
		text = "... " + text[last+1:]
	}
	c.journal.Note("answer %s status %d whole %v after %.3f s: %s", answer.ID, answer.Status, answer.Whole,
		answer.EndAt.Sub(answer.SentAt).Seconds(), text)
	return answer
}

func (c *Consumer) exchange(answer *Answer, address, after string) {
	conn, err := net.DialTimeout("tcp4", address, time.Second) //nolint:noctx // it has a timeout
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.Limit))
	head := []string{
		"POST " + c.Path + " HTTP/1.1",
		"Host: h.example",
		names["attempt"] + ": " + answer.ID,
		names["deadline"] + ": " + strconv.FormatInt(c.Limit.Milliseconds(), 10),
		"Authorization: Token key-of-mill",
		"Content-Length: 4",
	}
	if after != "" {
		head = append(head, names["last-event"]+": "+after)
	}
	if _, err := io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\nbody"); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	answer.Body, answer.Whole = string(body), err == nil
}

func (c *Consumer) keep(answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answer)
}

// Answers returns the answers so far.
func (c *Consumer) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}
