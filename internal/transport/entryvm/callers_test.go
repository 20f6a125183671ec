package entryvm

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/coordination/memory"
)

func TestMaxConnectionsByMemoryAndDescriptors(t *testing.T) {
	for name, c := range map[string]struct {
		memory      int64
		descriptors int
		limit       int64
	}{
		"smallest VM":       {memory: 112 << 20, limit: 241},
		"unknown memory":    {limit: 241},
		"few descriptors":   {memory: 112 << 20, descriptors: 400, limit: 150},
		"large VM":          {memory: 1 << 30, descriptors: 3900, limit: 1462},
		"hardly any memory": {memory: 1 << 20, limit: 32},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(maxConnections(memory.NewBudget(c.memory), c.descriptors), c.limit)
		})
	}
}

// TestMaxIdleConnectionsByMemoryAndDescriptors guards against a bound for the smallest VM that large ones keep as well.
func TestMaxIdleConnectionsByMemoryAndDescriptors(t *testing.T) {
	for name, c := range map[string]struct {
		memory             int64
		descriptors, limit int
	}{
		"smallest VM":       {memory: 112 << 20, limit: 128},
		"unknown memory":    {limit: 128},
		"few descriptors":   {memory: 112 << 20, descriptors: 400, limit: 50},
		"large VM":          {memory: 1 << 30, descriptors: 65536, limit: 1170},
		"hardly any memory": {memory: 1 << 20, limit: 16},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(maxIdleConnections(c.memory, c.descriptors), c.limit)
		})
	}
}

// scriptedListener hands out connections from a list.
type scriptedListener struct {
	net.Listener
	conns []net.Conn
}

// Close does nothing.
func (s *scriptedListener) Close() error { return nil }

func (s *scriptedListener) Accept() (net.Conn, error) {
	if len(s.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := s.conns[0]
	s.conns = s.conns[1:]
	return conn, nil
}

// TestListenerRefusesConnectionsBeyondTheLimit opens more connections than are allowed, and closes one in between.
func TestListenerRefusesConnectionsBeyondTheLimit(t *testing.T) {
	is := is.New(t)
	connections := connectionLimit{limit: 4}
	source := &scriptedListener{}
	listener := limitedListener{Listener: source, connections: &connections}
	accept := func() bool {
		_, conn := net.Pipe()
		source.conns = []net.Conn{conn}
		_, err := listener.Accept()
		if err == nil {
			connections.track(conn, http.StateNew)
		}
		return err == nil
	}
	for i := range 4 {
		is.Equal(connections.crowded(), i > 3)
		is.True(accept())
	}
	is.True(connections.crowded())
	is.True(!accept())
	is.Equal(connections.refused.Load(), int64(1))
	connections.track(nil, http.StateActive)
	connections.track(nil, http.StateClosed)
	is.True(!connections.crowded())
	is.True(accept())
}

// TestRefusedConnectionsAreAnswered guards against connections beyond the limit that are reset without an answer. Those
// that are being answered are limited as well, also while their callers send nothing.
func TestRefusedConnectionsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		connections := connectionLimit{}
		source := &scriptedListener{}
		listener := limitedListener{
			Listener:    source,
			connections: &connections,
		}
		var callers []net.Conn
		for range maxRefusals + 1 {
			caller, accepted := net.Pipe()
			callers = append(callers, caller)
			source.conns = append(source.conns, accepted)
		}
		_, err := listener.Accept() // returns when all are refused
		is.Equal(err, net.ErrClosed)
		_, err = callers[maxRefusals].Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		go func() {
			_, _ = io.WriteString(callers[0], "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nbody")
		}()
		response, err := http.ReadResponse(bufio.NewReader(callers[0]), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Close)
		is.Equal(response.Header.Get("Retry-After"), "0.500")
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(strings.Contains(string(text), "has not run"))
		time.Sleep(refusalWait)
		for _, caller := range callers {
			_, err = caller.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
		}
		synctest.Wait()
		is.Equal(connections.refusals.Load(), int64(0))
		is.Equal(connections.refused.Load(), int64(maxRefusals+1))
	})
}

// TestBoundsFitTheSmallestVM sums what callers and upstreams can make the smallest VM hold at most: the shares of the
// budget, idle connections to upstreams, the other listeners, and the index of prompt parts. Together they take less
// than a third of its memory; the rest is for the program, the routes, peers and garbage.
func TestBoundsFitTheSmallestVM(t *testing.T) {
	is := is.New(t)
	const (
		limit           = 112 << 20
		partRecordBytes = 512 // a map entry with a map of its own
	)
	budget, sum := memory.NewBudget(limit), int64(0)
	for use := range memory.Uses {
		sum += budget.Limit(use)
	}
	is.True(sum <= limit/4)
	is.True(maxConnections(budget, 0)*connectionBytes <= budget.Limit(memory.Connections))
	sum += int64(maxIdleConnections(limit, 0)) * idleConnectionBytes
	sum += 2 * maxOperatorConnections * connectionBytes
	sum += 4 * maxRefusals * refusalBytes
	sum += dispatch.MaxPartRecords * partRecordBytes
	is.True(sum <= limit/3)
}
