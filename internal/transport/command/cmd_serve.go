package command

import (
	"context"
	"expvar"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"lagoongw/internal/transport/logwriter"
	"lagoongw/internal/transport/node"
)

func cmdServe() subcommand {
	settings := &serveSettings{}
	return subcommand{
		name:    "serve",
		summary: "run an entry VM's process until it is drained",
		options: settings,
		run: func(ctx context.Context, _ io.Writer, args []string) error {
			if len(args) > 0 {
				return usageError{text: "serve takes no arguments, only options"}
			}
			return serve(ctx, settings, os.Stdout)
		},
	}
}

// serve runs a node until it is drained. The first signal starts the drain; further ones are ignored, so that no
// request in flight is aborted. Requests don't wait for the log; lines that it does not take are dropped and counted.
func serve(ctx context.Context, settings *serveSettings, log io.Writer) error {
	if err := settings.validate(); err != nil {
		return err
	}
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	ignoreFurtherSignals()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logWriter := logwriter.New(log, 0)
	defer logWriter.Close()
	n := newNode(settings, logWriter)
	expvar.Publish(programName, expvar.Func(n.Vars))
	go func() {
		select {
		case <-ctx.Done():
		case <-hangUp:
		}
		n.Drain()
	}()
	return n.Run(context.WithoutCancel(ctx))
}

func newNode(settings *serveSettings, log io.Writer) *node.Node {
	level, _ := zerolog.ParseLevel(settings.LogLevel)
	logger := zerolog.New(log).Level(level).With().Timestamp().Str("node", settings.Name).Logger()
	return &node.Node{
		Name:                 settings.Name,
		Listen:               settings.Listen,
		PeerListen:           settings.PeerListen,
		Address:              settings.Address,
		PeerAddress:          settings.PeerAddress,
		AvailabilityZone:     settings.AvailabilityZone,
		Region:               settings.Region,
		PlatformURL:          settings.PlatformURL,
		Secret:               []byte(settings.Secret),
		OperatorTokenHash:    settings.OperatorTokenHash,
		Seeds:                settings.Seeds,
		EntryAnswerTTL:       settings.EntryAnswerTTL,
		KeyLifetime:          settings.KeyLifetime,
		LogRetention:         settings.LogRetention,
		ClaimPartitions:      settings.ClaimPartitions,
		ClaimHolders:         settings.ClaimHolders,
		StreamIdleTimeout:    settings.StreamIdleTimeout,
		CallerStallTimeout:   settings.CallerStallTimeout,
		LogTimeout:           settings.LogTimeout,
		LeaseLength:          node.DefaultLeaseLength,
		DemandReportInterval: node.DefaultDemandReportInterval,
		LinkBytesPerSecond:   settings.LinkBytesPerSecond,
		Logger:               logger,
	}
}
