package entryvm

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestErrorsOfTheHTTPServerAreLogged guards against messages of net/http that go to the standard error stream past the
// bounds of the log.
func TestErrorsOfTheHTTPServerAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller, accepted := net.Pipe()
		source := &scriptedListener{conns: []net.Conn{accepted}}
		var lines bytes.Buffer
		server := serveHTTP(source, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			panic(strings.Repeat("long ", 2000))
		}), &connectionLimit{limit: 1}, fixedTimeouts, zerolog.New(zerolog.SyncWriter(&lines)))
		defer func() { _ = server.Close() }()
		var group sync.WaitGroup
		group.Go(func() { _, _ = io.Copy(io.Discard, caller) })
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		group.Wait()
		synctest.Wait()
		is.True(strings.Contains(lines.String(), "panic serving"))
		is.True(lines.Len() < 2*maxErrorLogBytes)
	})
}
