package platform

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/test/standin"
)

const stream = "claims-0"

func open(t *testing.T, p *standin.Platform) *Client {
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

// What the client says of an append must fit what the log holds: ErrNotAppended only when it does not and never will.
func TestAppendTellsTheTruth(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault standin.Fault
		rate  float64
		want  error
		holds int
	}{
		{
			name:  "no fault",
			holds: 1,
		},
		{
			name: "rate exceeded",
			rate: 0.001,
			want: ErrNotAppended,
		},
		{
			name: "refuses",
			fault: standin.Fault{
				Kind:  standin.FaultRefuse,
				Times: 1,
			},
			want: ErrMaybeAppended,
		},
		{
			name: "crashes before the effect",
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
			name: "answer lost after the effect",
			fault: standin.Fault{
				Kind:  standin.FaultLoseAnswer,
				Times: 1,
			},
			want:  ErrMaybeAppended,
			holds: 1,
		},
		{
			name: "takes effect after the answer was lost",
			fault: standin.Fault{
				Kind:    standin.FaultLateApply,
				Times:   1,
				DelayMs: 1,
			},
			want:  ErrMaybeAppended,
			holds: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &standin.Platform{AppendsPerSecond: c.rate}
			client := open(t, p)
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
			for until := time.Now().Add(5 * time.Second); p.Appends() < c.holds && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(p.Appends(), c.holds)
			if errors.Is(err, ErrNotAppended) {
				is.Equal(p.Appends(), 0)
			}
		})
	}
}

func TestNobodyListensIsNotAppended(t *testing.T) {
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
	client := open(t, p)
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

func TestTruncatedLogSaysWhereItBegins(t *testing.T) {
	is := is.New(t)
	p := &standin.Platform{Retention: time.Millisecond}
	client := open(t, p)
	p.Append(stream, []string{"old"})
	time.Sleep(5 * time.Millisecond)
	got, err := client.Read(t.Context(), stream, 0, 0)
	is.NoErr(err)
	is.Equal(got.Oldest, 1)
	is.Equal(got.Next, 1)
	is.Equal(len(got.Records), 0)
}

// A read on a connection that went silent ends by its own bound, and the next one goes through.
func TestSilentReadIsGivenUp(t *testing.T) {
	is := is.New(t)
	p := &standin.Platform{}
	client := open(t, p)
	p.Set(standin.Fault{
		Kind:  standin.FaultHang,
		Times: 1,
	})
	_, err := client.Read(t.Context(), stream, 0, 0)
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = client.Read(t.Context(), stream, 0, 0)
	is.NoErr(err)
}
