package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/reach"
	"lagoongw/internal/transport/connection"
	"lagoongw/test/standin"
)

// listen starts a listener that handles each connection, and returns its address.
func listen(t *testing.T, handle func(conn net.Conn)) string {
	t.Helper()
	address, err := standin.Listen(t.Context(), handle)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func newServer() *Server {
	return &Server{
		Dial:         dialTCP,
		Listed:       func(string) bool { return true },
		Controls:     func(string) []string { return nil },
		OpenedLately: func() bool { return false },
		Broken:       func(string) bool { return false },
		Draining:     func() bool { return false },
	}
}

// through opens a connection to an upstream through a server.
func through(t *testing.T, server *Server, address string) net.Conn {
	t.Helper()
	is := is.New(t)
	ticket, opinion := server.Open(t.Context(), address)
	is.Equal(opinion, reach.Reached)
	conn, err := dialTCP(t.Context(), listen(t, server.Serve))
	is.NoErr(err)
	_, err = conn.Write(ticket[:])
	is.NoErr(err)
	return NewConn(conn, "vm-2")
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", what)
}

// TestEndOfTheUpstreamsBytesIsToldFromABreak guards against an answer without a length that broke off on the way, at the
// upstream or at the node between, being taken for whole.
func TestEndOfTheUpstreamsBytesIsToldFromABreak(t *testing.T) {
	text := strings.Repeat("all of it ", 3000)
	for name, c := range map[string]struct {
		end   func(conn net.Conn)
		whole bool
	}{
		"upstream closes": {
			end:   func(conn net.Conn) { _ = conn.Close() },
			whole: true,
		},
		"upstream resets": {end: connection.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newServer()
			conn := through(t, server, listen(t, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, text)
				time.Sleep(50 * time.Millisecond)
				c.end(conn)
			}))
			_, err := conn.Write([]byte("?"))
			is.NoErr(err)
			got, err := io.ReadAll(conn)
			is.Equal(err == nil, c.whole)
			is.True(strings.HasPrefix(text, string(got)))
			if c.whole {
				is.Equal(string(got), text)
			}
			eventually(t, "the connection is counted no more", func() bool { return server.Connections() == 0 })
		})
	}
	t.Run("node between stops", func(t *testing.T) {
		is := is.New(t)
		here, there := net.Pipe()
		go func() {
			_, _ = there.Write([]byte{0, 3, 'a', 'b', 'c', 0})
			_ = there.Close()
		}()
		got, err := io.ReadAll(NewConn(here, "vm-2"))
		is.True(errors.Is(err, errBrokenOff))
		is.Equal(string(got), "abc")
	})
}

// TestTimeoutWithinAFrameLosesNothing guards against bytes that are taken for a length after a read has timed out.
func TestTimeoutWithinAFrameLosesNothing(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	conn := NewConn(here, "vm-2")
	sent := []byte{0, 2, 'a', 'b', 0, 1, 'c', 0, 0}
	next := make(chan struct{})
	go func() {
		for i := range sent {
			<-next
			_, _ = there.Write(sent[i : i+1])
		}
	}()
	var got []byte
	for range sent {
		buffer := make([]byte, 8)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := conn.Read(buffer[:0:0])
		is.True(err == nil || isTimeout(err))
		next <- struct{}{}
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		n, err := conn.Read(buffer)
		is.True(err == nil || isTimeout(err) || errors.Is(err, io.EOF))
		got = append(got, buffer[:n]...)
	}
	is.Equal(string(got), "abc")
	_ = conn.SetReadDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// TestUpstreamLearnsThatTheCallerLeft guards against work that goes on at an upstream after the first node has closed its
// connection, or has reset it since it gave the request up.
func TestUpstreamLearnsThatTheCallerLeft(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(conn net.Conn)
		want error
	}{
		"closed":   {end: func(conn net.Conn) { _ = conn.Close() }},
		"given up": {end: connection.Reset, want: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan error, 1)
			server := newServer()
			conn := through(t, server, listen(t, func(conn net.Conn) {
				_, err := io.Copy(io.Discard, conn)
				closed <- err
			}))
			_, err := conn.Write([]byte("a request"))
			is.NoErr(err)
			c.end(conn)
			select {
			case err := <-closed:
				is.True(errors.Is(err, c.want))
			case <-time.After(20 * time.Second):
				t.Fatal("the upstream's connection stays open")
			}
			eventually(t, "the connection is counted no more", func() bool { return server.Connections() == 0 })
		})
	}
}

// TestConnectionsForOthersAreBounded guards against nodes that use up another one, by connections that they don't take, that
// they hold, or to what is no upstream.
func TestConnectionsForOthersAreBounded(t *testing.T) {
	is := is.New(t)
	server := newServer()
	address := listen(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	for range MaxConnections {
		_, opinion := server.Open(t.Context(), address)
		is.Equal(opinion, reach.Reached)
	}
	_, opinion := server.Open(t.Context(), address)
	is.Equal(opinion, reach.None)
	is.Equal(server.Connections(), MaxConnections)
	eventually(t, "connections that nobody took are closed", func() bool { return server.Connections() == 0 })

	conn, err := dialTCP(t.Context(), listen(t, server.Serve))
	is.NoErr(err)
	var unknown Ticket
	_, err = conn.Write(unknown[:])
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil)

	for name, change := range map[string]func(s *Server){
		"draining":     func(s *Server) { s.Draining = func() bool { return true } },
		"no upstream":  func(s *Server) { s.Listed = func(string) bool { return false } },
		"broken paths": func(s *Server) { s.Broken = func(string) bool { return true } },
	} {
		t.Run(name, func(t *testing.T) {
			server := newServer()
			server.Dial = func(context.Context, string) (net.Conn, error) {
				t.Error("dialed")
				return nil, syscall.ECONNREFUSED
			}
			change(server)
			_, opinion := server.Open(t.Context(), address)
			is.Equal(opinion, reach.None)
		})
	}
}

// TestOpinionNeedsAPathOfItsOwn guards against a node that is cut off itself and takes an upstream for down.
func TestOpinionNeedsAPathOfItsOwn(t *testing.T) {
	is := is.New(t)
	server := newServer()
	reachable := listen(t, func(conn net.Conn) { _ = conn.Close() })
	server.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if address != reachable {
			return nil, syscall.ECONNREFUSED
		}
		return dialTCP(ctx, address)
	}
	server.Controls = func(string) []string { return []string{"down-2", "down-3"} }
	_, opinion := server.Open(t.Context(), "down-1")
	is.Equal(opinion, reach.Doubtful)
	server.Controls = func(string) []string { return []string{"down-2", reachable} }
	_, opinion = server.Open(t.Context(), "down-1")
	is.Equal(opinion, reach.Unreached)
}

// scriptedDialer returns a dialer that can't connect directly, and whose other nodes have the given opinions.
func scriptedDialer(opinions map[string]reach.Opinion) *Dialer {
	d := &Dialer{
		Direct: func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
		Nodes: func() (nodes []string) {
			for node := range opinions {
				nodes = append(nodes, node)
			}
			return nodes
		},
	}
	d.Through = func(_ context.Context, node, _ string) (net.Conn, reach.Opinion, error) {
		if opinions[node] != reach.Reached {
			return nil, opinions[node], nil
		}
		here, _ := net.Pipe()
		return here, reach.Reached, nil
	}
	return d
}

// TestOnlyAnUpstreamThatNobodyReachesIsDown guards against a partition of some nodes that counts as a crash of an upstream, and
// against crashes that count as none.
func TestOnlyAnUpstreamThatNobodyReachesIsDown(t *testing.T) {
	for name, c := range map[string]struct {
		opinions map[string]reach.Opinion
		// reached reports whether a connection is expected, down whether the upstream is taken for crashed, and confirmed whether
		// the failed connect says so.
		reached, down, confirmed bool
	}{
		"no other node":            {down: true, confirmed: true},
		"one reaches it":           {opinions: map[string]reach.Opinion{"a": reach.Unreached, "b": reach.Reached, "c": reach.Doubtful}, reached: true},
		"none reaches it":          {opinions: map[string]reach.Opinion{"a": reach.Unreached, "b": reach.Unreached}, down: true, confirmed: true},
		"none reaches anything":    {opinions: map[string]reach.Opinion{"a": reach.Doubtful}, down: true},
		"none can tell":            {opinions: map[string]reach.Opinion{"a": reach.None, "b": reach.None}},
		"one can't tell, one does": {opinions: map[string]reach.Opinion{"a": reach.None, "b": reach.Unreached}, down: true, confirmed: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(scriptedDialer(c.opinions).ConfirmDown(t.Context(), "u"), c.down)
			conn, err := scriptedDialer(c.opinions).Dial(t.Context(), "u")
			is.Equal(conn != nil, c.reached)
			if c.reached {
				return
			}
			var unreachable *connection.UnreachableError
			is.True(errors.As(err, &unreachable))
			is.Equal(unreachable.Confirmed, c.confirmed)
			is.True(errors.Is(err, syscall.ECONNREFUSED))
		})
	}
}
