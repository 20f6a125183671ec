package command

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"lagoongw/internal/coordination/retry"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/duties"
	"lagoongw/internal/transport/entryvm"
	"lagoongw/internal/transport/logwriter"
	"lagoongw/platform"
)

const (
	// storeTimeout is the timeout of a call to the store, which answers within milliseconds, and within a few hundred at
	// worst.
	storeTimeout = 700 * time.Millisecond
	// directoryAnswerTTL is how long callers may cache the answer about which entry VM to connect to, and thus how long
	// they may still try one that was killed.
	directoryAnswerTTL = time.Second
	// settingsPollInterval is the time between two reads of the settings file, which may change without a signal.
	settingsPollInterval = time.Second
	// smallCPUShare is the share of a core below which others claim the lease of the duties first.
	smallCPUShare = 0.5
)

// gatewaySettings holds the options of the gateway command: the path of the platform's settings file, and the settings
// that this file doesn't contain.
type gatewaySettings struct {
	Config      string `long:"config" env:"LAGOONGW_CONFIG" description:"path of the platform's settings file"`
	Secret      string `long:"secret" env:"LAGOONGW_SECRET" default:"lagoongw peers of one site" description:"secret shared by all entry VMs, at least 16 bytes"`
	MetricsPort int    `long:"metrics-port" env:"LAGOONGW_METRICS_PORT" default:"9464" description:"port of the metrics, at the path /metrics"`
	LogLevel    string `long:"log-level" env:"LAGOONGW_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines"`
	// CapacityUtilization, CapacityReserve and CapacityLeast take effect where the settings file lists autoscaling as a duty,
	// for services with scaling.
	CapacityUtilization float64 `long:"capacity-utilization" env:"LAGOONGW_CAPACITY_UTILIZATION" default:"0.3" description:"share of the upstreams' time or slots that requests are to take, 0.2 to 0.9"`
	CapacityReserve     float64 `long:"capacity-reserve" env:"LAGOONGW_CAPACITY_RESERVE" default:"0.1667" description:"share of the upstreams that are not spot ones, 0 to 1"`
	CapacityLeast       int     `long:"capacity-least" env:"LAGOONGW_CAPACITY_LEAST" default:"0" description:"least number of upstreams of each service with scaling, 0 to 10000"`
}

// maxCapacityLeast is beyond what any site has, so that only a mistyped number exceeds it.
const maxCapacityLeast = 10000

// validate returns one error that names every invalid setting.
func (s *gatewaySettings) validate() error {
	var errs settingErrors
	errs.require(len(s.Secret) >= minSecretBytes, "secret", "at least 16 bytes")
	errs.require(s.CapacityUtilization >= 0.2 && s.CapacityUtilization <= 0.9, "capacity-utilization", "0.2 to 0.9")
	errs.require(s.CapacityReserve >= 0 && s.CapacityReserve <= 1, "capacity-reserve", "0 to 1")
	errs.require(s.CapacityLeast >= 0 && s.CapacityLeast <= maxCapacityLeast, "capacity-least", "0 to 10000")
	if len(errs) > 0 {
		return usageError{text: strings.Join(errs, "\n")}
	}
	return nil
}

func cmdGateway() subcommand {
	settings := &gatewaySettings{}
	return subcommand{
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

// runGateway runs the gateway until it is drained. The first signal, which ends ctx, starts the drain; further ones are
// ignored, so that no request in flight is aborted.
func runGateway(ctx context.Context, settings *gatewaySettings) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ignoreFurtherSignals()
	if err := settings.validate(); err != nil {
		return err
	}
	platformSettings, err := platform.ReadSettings(settings.Config)
	if err != nil {
		return err
	}
	limitGoMemory(platformSettings.MemoryLimit)
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logWriter := logwriter.New(os.Stdout, platformSettings.MemoryLimit)
	defer logWriter.Close()
	p := newProcess(settings, platformSettings, logWriter)
	p.Prepare()
	go func() {
		<-ctx.Done()
		p.Drain()
	}()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go watchSettings(runCtx, settings.Config, reload, p)
	return p.Run(runCtx)
}

// watchSettings applies changes of the settings file until ctx ends. It reads the file when a signal arrives on reload,
// and every settingsPollInterval.
func watchSettings(ctx context.Context, path string, reload <-chan os.Signal, p *entryvm.Process) {
	current, err := os.ReadFile(path)
	unreadable := err != nil
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
			p.Logger.Info().Str("decision", "settings").Msg("reading the settings file on a signal")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		data, err := os.ReadFile(path)
		if err != nil && !unreadable {
			p.Logger.Error().Err(err).Str("decision", "settings").
				Msg("the settings file can't be read; keeping the previous settings")
		}
		unreadable = err != nil
		if unreadable || bytes.Equal(data, current) {
			continue
		}
		current = data
		platformSettings, err := platform.ParseSettings(data)
		if err != nil {
			p.Logger.Error().Err(err).Str("decision", "settings").Msg("changed settings are invalid; keeping the previous ones")
			continue
		}
		p.Reconfigure(tunables(platformSettings))
		p.Logger.Info().
			Str("decision", "settings").
			Int("seeds", len(platformSettings.Seeds)).
			Msg("changed settings applied; changed addresses take effect after a restart")
	}
}

// tunables returns those settings of the settings file that can change while the process runs.
func tunables(settings platform.Settings) entryvm.Tunables {
	return entryvm.Tunables{
		Seeds:       settings.Seeds,
		GracePeriod: settings.GracePeriod,
		RetryAllowance: retry.Allowance{
			Length: settings.RetryWindow,
			Ratio:  settings.RetryRatio,
			Slack:  settings.RetrySlack,
		},
	}
}

func newProcess(
	settings *gatewaySettings, platformSettings platform.Settings, logWriter *logwriter.Writer,
) *entryvm.Process {
	level, _ := zerolog.ParseLevel(settings.LogLevel)
	logger := zerolog.New(logWriter).Level(level).With().Timestamp().Str("node", platformSettings.Name).Logger()
	return &entryvm.Process{
		Name:             platformSettings.Name,
		AvailabilityZone: platformSettings.AvailabilityZone,
		Region:           platformSettings.Region,
		Listen: entryvm.Addresses{
			Callers:   platformSettings.CallerAddress,
			Ready:     platformSettings.ReadyAddress,
			Directory: platformSettings.DirectoryAddress,
			Peers:     platformSettings.PeerAddress,
			Metrics:   net.JoinHostPort(platformSettings.IP, strconv.Itoa(settings.MetricsPort)),
		},
		Tunables:      tunables(platformSettings),
		Secret:        []byte(settings.Secret),
		Codec:         platform.Headers{},
		Catalog:       newCatalog(platformSettings),
		VersionRecord: platform.OpenStore(platformSettings.StoreAddress, platform.TopicVersions, storeTimeout),
		StreamLog:     platform.OpenStore(platformSettings.StoreAddress, platform.TopicOrigins, storeTimeout),
		ReadyRoutes:   platform.ReadyRoutes,
		DirectoryRoutes: func(addresses func(zone, region string) []string) []rest.Route {
			return platform.DirectoryRoutes(addresses, directoryAnswerTTL)
		},
		Duties:       newDuties(platformSettings),
		UsageReports: newUsageReports(platformSettings.Cloud),
		DroppedLines: logWriter.Dropped,
		MemoryLimit:  platformSettings.MemoryLimit,
		Descriptors:  platformSettings.Descriptors,
		Autoscale:    newAutoscale(settings, platformSettings),
		Logger:       logger,
	}
}

// newAutoscale returns how upstreams are ordered, or nil if this is no duty of the site.
func newAutoscale(settings *gatewaySettings, platformSettings platform.Settings) *entryvm.Autoscale {
	if !platformSettings.Cloud.Autoscale {
		return nil
	}
	return &entryvm.Autoscale{
		Order:       platform.OpenCloud(platformSettings.Cloud.Address).OrderUpstreams,
		Utilization: settings.CapacityUtilization,
		Reserve:     settings.CapacityReserve,
		Least:       settings.CapacityLeast,
	}
}

func newCatalog(settings platform.Settings) *catalog.Service {
	open := func(topic string) *platform.Store {
		return platform.OpenStore(settings.StoreAddress, topic, storeTimeout)
	}
	return &catalog.Service{
		Routes:              open(platform.TopicOperator),
		RoutesCopy:          open(platform.TopicOperatorCopy),
		Upstreams:           open(platform.TopicUpstreams),
		UpstreamsCopy:       open(platform.TopicUpstreamsCopy),
		RoutesKey:           platform.ManifestKey,
		DecodeRoutes:        platform.ParseManifest,
		DecodeRoutesVersion: platform.ParseManifestVersion,
		DecodeUpstream:      settings.ParseEntry,
	}
}

// newUsageReports describes the usage reports, nil if they are not among the duties.
func newUsageReports(settings platform.CloudSettings) *entryvm.UsageReports {
	if !settings.ReportUsage {
		return nil
	}
	return &entryvm.UsageReports{
		Window:    settings.UsageWindow,
		Tolerance: settings.UsageTolerance,
		Delay:     settings.UsageDelay,
		Report:    platform.OpenCloud(settings.Address).ReportUsage,
	}
}

// newDuties returns the service that keeps the lease of the duties, nil if the settings name no duty.
func newDuties(settings platform.Settings) *duties.Service {
	if !settings.Cloud.Active() {
		return nil
	}
	return &duties.Service{
		Name:           settings.Name,
		Log:            platform.OpenStore(settings.StoreAddress, platform.TopicDuties, storeTimeout),
		Lease:          settings.Cloud.Lease,
		CallsPerSecond: settings.Cloud.CallsPerSecond,
		Small:          settings.CPUShare > 0 && settings.CPUShare < smallCPUShare,
	}
}
