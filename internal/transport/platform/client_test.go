package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/test/standin"
)

const stream = "claims-0"

func newClient(t *testing.T, p *standin.Platform) *Client {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		_ = server.Config.Close()
	})
	c := &Client{
		BaseURL:     server.URL,
		CallTimeout: 300 * time.Millisecond,
	}
	c.Open()
	return c
}

// ErrNotAppended may be returned only if the log does not hold the records and never will; any doubt must give
// ErrMaybeAppended.
func TestAppendErrorMatchesTheLog(t *testing.T) {
	for _, c := range []struct {
		name        string
		fault       standin.Fault
		rate        float64
		want        error
		wantAppends int
	}{
		{
			name:        "no fault",
			wantAppends: 1,
		},
		{
			name: "answers 429 to an exceeded rate",
			rate: 0.001,
			want: ErrNotAppended,
		},
		{
			name: "answers 503",
			fault: standin.Fault{
				Kind:  standin.FaultRefuse,
				Times: 1,
			},
			want: ErrMaybeAppended,
		},
		{
			name: "crashes before the append",
			fault: standin.Fault{
				Kind:  standin.FaultCrash,
				Times: 1,
			},
			want: ErrMaybeAppended,
		},
		{
			name: "hangs",
			fault: standin.Fault{
				Kind:  standin.FaultHang,
				Times: 1,
			},
			want: ErrMaybeAppended,
		},
		{
			name: "answer lost after the append",
			fault: standin.Fault{
				Kind:  standin.FaultLoseAnswer,
				Times: 1,
			},
			want:        ErrMaybeAppended,
			wantAppends: 1,
		},
		{
			name: "appends after the answer was lost",
			fault: standin.Fault{
				Kind:    standin.FaultLateApply,
				Times:   1,
				DelayMs: 1,
			},
			want:        ErrMaybeAppended,
			wantAppends: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &standin.Platform{AppendsPerSecond: c.rate}
			client := newClient(t, p)
			if c.fault.Kind != "" {
				p.Set(c.fault)
			}
			offset, err := client.Append(t.Context(), stream, []string{"a"})
			if c.want == nil {
				is.NoErr(err)
				is.Equal(offset, 0)
			} else {
				is.True(errors.Is(err, c.want))
			}
			for deadline := time.Now().Add(5 * time.Second); p.Appends() < c.wantAppends && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(p.Appends(), c.wantAppends)
			if errors.Is(err, ErrNotAppended) {
				is.Equal(p.Appends(), 0)
			}
		})
	}
}

func TestRefusedConnectionIsNotAppended(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(nil)
	address := server.URL
	server.Close()
	c := &Client{
		BaseURL:     address,
		CallTimeout: time.Second,
	}
	c.Open()
	_, err := c.Append(t.Context(), stream, []string{"a"})
	is.True(errors.Is(err, ErrNotAppended))
}

func TestReadWaitsForTheFirstRecord(t *testing.T) {
	is := is.New(t)
	p := &standin.Platform{}
	client := newClient(t, p)
	empty, err := client.Read(t.Context(), stream, 0, 10*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(empty.Records), 0)
	go p.Append(stream, []string{"a", "b"})
	got, err := client.Read(t.Context(), stream, 0, 20*time.Second)
	is.NoErr(err)
	is.Equal(len(got.Records), 2)
	is.Equal(got.Records[1].Offset, 1)
	is.Equal(got.Next, 2)
}

func TestReadReportsOldestOffsetOfTruncatedLog(t *testing.T) {
	is := is.New(t)
	p := &standin.Platform{Retention: time.Millisecond}
	client := newClient(t, p)
	p.Append(stream, []string{"old"})
	time.Sleep(5 * time.Millisecond)
	got, err := client.Read(t.Context(), stream, 0, 0)
	is.NoErr(err)
	is.Equal(got.Oldest, 1)
	is.Equal(got.Next, 1)
	is.Equal(len(got.Records), 0)
}

// A read that gets no answer must end at its own timeout, and the next read must succeed.
func TestReadTimesOutWhenPlatformHangs(t *testing.T) {
	is := is.New(t)
	p := &standin.Platform{}
	client := newClient(t, p)
	p.Set(standin.Fault{
		Kind:  standin.FaultHang,
		Times: 1,
	})
	_, err := client.Read(t.Context(), stream, 0, 0)
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = client.Read(t.Context(), stream, 0, 0)
	is.NoErr(err)
}

// TestOddRowsDoNotStopTheListOfVMs guards against one row that can't be decoded or used, after which nodes no longer follow the
// list.
func TestOddRowsDoNotStopTheListOfVMs(t *testing.T) {
	is := is.New(t)
	good := `{"name":"e1","kind":"engine","address":"10.0.0.1:80","availability-zone":"a","region":"r","state":"ready","slots":4}`
	rows := []string{
		`{"name":"e2","address":"10.0.0.2:80","slots":1e400}`,
		`{"name":"e3","address":"10.0.0.3:80","slots":9223372036854775807}`,
		`{"name":"e4","address":"10.0.0.4:80","slots":-1}`,
		`{"name":"e5","address":"10.0.0.5:65536"}`,
		`{"name":"e6","address":"10.0.0.6:0"}`,
		`{"name":"e7","address":"10.0.0.7:80","boot":` + strings.Repeat("[", 5_000) + strings.Repeat("]", 5_000) + `}`,
		`{"name":7,"address":"10.0.0.8:80"}`,
		`{"address":"10.0.0.9:80"}`,
		`null`,
		good,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"machines":[`+strings.Join(rows, ",")+`]}`)
	}))
	t.Cleanup(server.Close)
	c := &Client{
		BaseURL:     server.URL,
		CallTimeout: time.Minute,
	}
	c.Open()
	machines, err := c.Machines(t.Context())
	is.NoErr(err)
	is.Equal(len(machines), 1)
	is.Equal(machines[0].Name, "e1")
}
