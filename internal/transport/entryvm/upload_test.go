package entryvm_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/transport/connection"
	"lagoongw/test/standin"
)

// startResettingUpstream starts an upstream that answers while requests still come, with a status in turn and without a length, and
// resets each connection after a part of the body, at once or up to 0.3 ms later. It returns its address.
func startResettingUpstream(t *testing.T, statuses []int) string {
	t.Helper()
	var served atomic.Int64
	address, err := standin.Listen(t.Context(), func(conn net.Conn) {
		defer connection.Reset(conn)
		number := int(served.Add(1)) - 1
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Lagoongw-Attempt-Id: %s\r\nX-Lagoongw-Response-Stamp: s\r\n\r\npart",
			statuses[number%len(statuses)], request.Header.Get("X-Lagoongw-Attempt-Id"))
		time.Sleep(time.Duration(number%4) * 100 * time.Microsecond)
	})
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestUploadsWhoseAnswerIsResetFail guards against a part of an answer that a caller takes for whole, as the connection to the upstream
// was reset while the upload was still written.
func TestUploadsWhoseAnswerIsResetFail(t *testing.T) {
	const (
		uploads     = 100
		uploadBytes = 3 << 20
	)
	is := is.New(t)
	addresses := freeAddresses(t)
	upstream := startResettingUpstream(t, []int{http.StatusOK, http.StatusNotFound})
	start(t, newProcess("vm-1", startStore(t, upstream), addresses, nil))
	eventually(t, "it is ready", func() bool {
		status, _, _ := get(t, "http://"+addresses[1]+"/readyz", nil)
		return status == http.StatusOK
	})
	counts := map[int]int{}
	for i := range uploads {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addresses[0]+"/x/1", bytes.NewReader(make([]byte, uploadBytes)))
		is.NoErr(err)
		r.Host = "h"
		r.Header.Set("X-Lagoongw-Attempt-Id", fmt.Sprint("id-", i))
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		counts[response.StatusCode]++
	}
	is.Equal(counts, map[int]int{http.StatusBadGateway: uploads})
}
