package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/state/rule"
)

// TestDrainBeforeRun guards against a node that crashes, or serves on, because the signal to stop arrives while it starts.
func TestDrainBeforeRun(t *testing.T) {
	is := is.New(t)
	n := &Node{
		Name:                 "entry-1",
		Listen:               "127.0.0.1:0",
		PeerListen:           "127.0.0.1:0",
		Address:              "127.0.0.1:1",
		PeerAddress:          "127.0.0.1:1",
		AvailabilityZone:     "zone-a",
		Region:               "region-a",
		PlatformURL:          "http://127.0.0.1:1",
		Secret:               []byte("a secret of sixteen"),
		OperatorTokenHash:    rule.HashToken("operator"),
		EntryAnswerTTL:       time.Millisecond,
		KeyLifetime:          time.Minute,
		LogRetention:         time.Hour,
		ClaimPartitions:      1,
		ClaimHolders:         1,
		StreamIdleTimeout:    time.Second,
		CallerStallTimeout:   10 * time.Second,
		LogTimeout:           time.Second,
		LeaseLength:          DefaultLeaseLength,
		DemandReportInterval: DefaultDemandReportInterval,
		Logger:               zerolog.Nop(),
	}
	n.Drain()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	is.NoErr(n.Run(ctx))
	is.NoErr(ctx.Err()) // it stopped by itself
}
