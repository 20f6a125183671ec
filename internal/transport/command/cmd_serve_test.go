package command

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/rule"
)

// TestServeDoesNotWaitForItsLog guards against a node whose requests, and whose drain, wait behind a log that nobody reads.
func TestServeDoesNotWaitForItsLog(t *testing.T) {
	is := is.New(t)
	unread, log := io.Pipe()
	defer func() { _ = unread.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- serve(ctx, &serveSettings{
			Name:               "entry-1",
			Listen:             "127.0.0.1:0",
			PeerListen:         "127.0.0.1:0",
			Address:            "127.0.0.1:1",
			PeerAddress:        "127.0.0.1:1",
			AvailabilityZone:   "zone-a",
			Region:             "region-a",
			PlatformURL:        "http://127.0.0.1:1",
			Secret:             "a secret of sixteen",
			OperatorTokenHash:  rule.HashToken("operator"),
			EntryAnswerTTL:     time.Second,
			KeyLifetime:        time.Minute,
			LogRetention:       time.Hour,
			ClaimPartitions:    1,
			ClaimHolders:       1,
			StreamIdleTimeout:  time.Second,
			CallerStallTimeout: time.Second,
			LogTimeout:         time.Second,
			LogLevel:           "debug",
		}, log)
	}()
	cancel()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(time.Minute):
		t.Fatal("the node did not stop")
	}
}
