package command

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/entryvm"
	"lagoongw/internal/transport/logwriter"
	"lagoongw/platform"
)

const (
	// storeTimeout bounds a call to the store, whose answers take milliseconds, and a few hundred on a bad day.
	storeTimeout = 700 * time.Millisecond
	// answerKeep is how long callers may keep an answer about where to connect; a killed VM is left that soon.
	answerKeep = time.Second
	// settingsEvery is how often the settings file is looked at, since it may change without a signal.
	settingsEvery = time.Second
)

// gatewaySettings are the settings of the gateway that the platform's settings file does not hold.
type gatewaySettings struct {
	Config      string `long:"config" env:"LAGOONGW_CONFIG" description:"path of the platform's settings file"`
	Secret      string `long:"secret" env:"LAGOONGW_SECRET" default:"lagoongw peers of one site" description:"secret shared by all entry VMs, at least 16 bytes"`
	MetricsPort int    `long:"metrics-port" env:"LAGOONGW_METRICS_PORT" default:"9464" description:"port of the metrics, at the path /metrics"`
	LogLevel    string `long:"log-level" env:"LAGOONGW_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines"`
}

func cmdGateway() cmd {
	settings := &gatewaySettings{}
	return cmd{
		name:    "gateway",
		summary: "run an entry VM's process on a platform with a store",
		options: settings,
		run: func(ctx context.Context, _ io.Writer, args []string) error {
			if len(args) > 0 {
				return usageError{text: "gateway takes no arguments, only options"}
			}
			return runGateway(ctx, settings)
		},
	}
}

// runGateway drains on the first signal; a second one is ignored, so that nothing in flight is cut.
func runGateway(ctx context.Context, settings *gatewaySettings) error {
	if len(settings.Secret) < minSecretBytes {
		return usageError{text: "--secret: expected at least 16 bytes"}
	}
	site, err := platform.ReadSettings(settings.Config)
	if err != nil {
		return err
	}
	ignoreFurtherSignals()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	lines := logwriter.New(os.Stdout)
	defer lines.Close()
	p := newProcess(settings, site, lines)
	p.Prepare()
	go func() {
		<-ctx.Done()
		p.Drain()
	}()
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go watchSettings(running, settings.Config, reload, p)
	return p.Run(running)
}

// watchSettings puts changes of the settings file into force, on a signal or found by looking.
func watchSettings(ctx context.Context, path string, reload <-chan os.Signal, p *entryvm.Process) {
	before, _ := os.ReadFile(path)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
			p.Logger.Info().Str("decision", "settings").Msg("signal to read the settings again")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		data, err := os.ReadFile(path)
		if err != nil || bytes.Equal(data, before) {
			continue
		}
		before = data
		site, err := platform.ParseSettings(data)
		if err != nil {
			p.Logger.Error().Err(err).Str("decision", "settings").Msg("changed settings refused; the earlier ones stay in force")
			continue
		}
		p.Reconfigure(tunables(site))
		p.Logger.Info().Str("decision", "settings").Int("seeds", len(site.Seeds)).Msg("changed settings in force; addresses change at the next start")
	}
}

func tunables(site platform.Settings) entryvm.Tunables {
	return entryvm.Tunables{
		Seeds:       site.Seeds,
		GracePeriod: site.GracePeriod,
		RetryAllowance: retry.Allowance{
			Length: site.RetryWindow,
			Ratio:  site.RetryRatio,
			Slack:  site.RetrySlack,
		},
	}
}

func newProcess(settings *gatewaySettings, site platform.Settings, lines *logwriter.Writer) *entryvm.Process {
	level, _ := zerolog.ParseLevel(settings.LogLevel)
	logger := zerolog.New(lines).Level(level).With().Timestamp().Str("node", site.Name).Logger()
	return &entryvm.Process{
		Name:             site.Name,
		AvailabilityZone: site.AvailabilityZone,
		Region:           site.Region,
		Listen: entryvm.Addresses{
			Callers:   site.CallerAddress,
			Ready:     site.ReadyAddress,
			Directory: site.DirectoryAddress,
			Peers:     site.PeerAddress,
			Metrics:   net.JoinHostPort(site.IP, strconv.Itoa(settings.MetricsPort)),
		},
		Tunables:    tunables(site),
		Secret:      []byte(settings.Secret),
		Codec:       platform.Headers{},
		Catalog:     newCatalog(site),
		ReadyRoutes: platform.ReadyRoutes,
		DirectoryRoutes: func(addresses func(zone, region string) []string) []rest.Route {
			return platform.DirectoryRoutes(addresses, answerKeep)
		},
		DroppedLines: lines.Dropped,
		Logger:       logger,
	}
}

func newCatalog(site platform.Settings) *catalog.Service {
	open := func(topic string) *platform.Store { return platform.OpenStore(site.StoreAddress, topic, storeTimeout) }
	return &catalog.Service{
		Routes:         open(platform.TopicOperator),
		RoutesCopy:     open(platform.TopicOperatorCopy),
		Upstreams:      open(platform.TopicUpstreams),
		UpstreamsCopy:  open(platform.TopicUpstreamsCopy),
		RoutesKey:      platform.ManifestKey,
		DecodeRoutes:   platform.ParseManifest,
		DecodeUpstream: site.ParseEntry,
	}
}
