package command

import (
	"net"
	"net/url"
	"strings"
	"time"

	"lagoongw/internal/state/rule"
)

const (
	minSecretBytes = 16
	maxPartitions  = 256
)

// serveSettings holds the options of the serve command.
type serveSettings struct {
	Name               string        `long:"name" env:"LAGOONGW_NAME" description:"name of this entry VM, unlike any other's"`
	Listen             string        `long:"listen" env:"LAGOONGW_LISTEN" default:"0.0.0.0:8080" description:"address for callers and operators"`
	PeerListen         string        `long:"peer-listen" env:"LAGOONGW_PEER_LISTEN" default:"0.0.0.0:8081" description:"address for other entry VMs"`
	Address            string        `long:"address" env:"LAGOONGW_ADDRESS" description:"IP and port that callers are told"`
	PeerAddress        string        `long:"peer-address" env:"LAGOONGW_PEER_ADDRESS" description:"IP and port that other entry VMs are told"`
	AvailabilityZone   string        `long:"availability-zone" env:"LAGOONGW_AVAILABILITY_ZONE" description:"availability zone of this VM"`
	Region             string        `long:"region" env:"LAGOONGW_REGION" description:"region of this VM"`
	PlatformURL        string        `long:"platform" env:"LAGOONGW_PLATFORM" description:"base URL of the platform's log, VM list and weight store"`
	Secret             string        `long:"secret" env:"LAGOONGW_SECRET" description:"secret shared by all entry VMs, at least 16 bytes"`
	OperatorTokenHash  string        `long:"operator-token-sha256" env:"LAGOONGW_OPERATOR_TOKEN_SHA256" description:"SHA-256 of the operator token in hexadecimal"`
	Seeds              []string      `long:"peer" env:"LAGOONGW_PEERS" env-delim:"," description:"peer address of another entry VM to begin with; may be repeated"`
	EntryAnswerTTL     time.Duration `long:"keep-answer" env:"LAGOONGW_KEEP_ANSWER" default:"5s" description:"how long callers may keep an entry answer"`
	KeyLifetime        time.Duration `long:"key-lifetime" env:"LAGOONGW_KEY_LIFETIME" default:"1h" description:"how long an idempotency key is honoured"`
	LogRetention       time.Duration `long:"log-retention" env:"LAGOONGW_LOG_RETENTION" default:"4h" description:"how long the platform's log keeps records"`
	ClaimPartitions    int           `long:"claim-partitions" env:"LAGOONGW_CLAIM_PARTITIONS" default:"1" description:"number of claims streams, the same at all entry VMs"`
	ClaimHolders       int           `long:"claim-holders" env:"LAGOONGW_CLAIM_HOLDERS" default:"3" description:"number of entry VMs of a zone that read each claims stream"`
	StreamIdleTimeout  time.Duration `long:"stream-silence" env:"LAGOONGW_STREAM_SILENCE" default:"10s" description:"longest silence of a stream before it is resumed elsewhere"`
	CallerStallTimeout time.Duration `long:"caller-stall" env:"LAGOONGW_CALLER_STALL" default:"10s" description:"longest time in which a caller sends or accepts nothing before it is cut off"`
	LogTimeout         time.Duration `long:"log-timeout" env:"LAGOONGW_LOG_TIMEOUT" default:"2s" description:"longest wait for one call to the platform"`
	LinkBytesPerSecond float64       `long:"link-bytes-per-second" env:"LAGOONGW_LINK_BYTES_PER_SECOND" default:"0" description:"this VM's share of the link between regions, 0 for no limit"`
	LogLevel           string        `long:"log-level" env:"LAGOONGW_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level of log lines"`
}

// settingErrors collects the errors of all invalid settings.
type settingErrors []string

func (e *settingErrors) require(ok bool, option, expected string) {
	if !ok {
		*e = append(*e, "--"+option+": expected "+expected)
	}
}

// validate returns one error that names every invalid setting. It never contains the value of a secret.
func (s *serveSettings) validate() error {
	var errs settingErrors
	errs.require(rule.IsName(s.Name), "name", "a name in kebab case of at most 64 characters")
	errs.require(isHostPort(s.Listen), "listen", "an address such as 0.0.0.0:8080")
	errs.require(isHostPort(s.PeerListen), "peer-listen", "an address such as 0.0.0.0:8081")
	errs.require(isIPPort(s.Address), "address", "an IP address and port such as 10.0.0.5:8080")
	errs.require(isIPPort(s.PeerAddress), "peer-address", "an IP address and port such as 10.0.0.5:8081")
	errs.require(rule.IsName(s.AvailabilityZone), "availability-zone", "a name in kebab case")
	errs.require(rule.IsName(s.Region), "region", "a name in kebab case")
	errs.require(isBaseURL(s.PlatformURL), "platform", "a URL such as http://10.0.0.1:8500")
	errs.require(len(s.Secret) >= minSecretBytes, "secret", "at least 16 bytes")
	errs.require(rule.IsTokenHash(s.OperatorTokenHash), "operator-token-sha256", "64 hexadecimal digits in lower case")
	for _, seed := range s.Seeds {
		errs.require(isHostPort(seed), "peer", "an address such as 10.0.0.6:8081, not "+seed)
	}
	errs.require(s.EntryAnswerTTL >= time.Second && s.EntryAnswerTTL <= time.Minute, "keep-answer", "1s to 1m")
	errs.require(s.KeyLifetime >= time.Minute, "key-lifetime", "at least 1m")
	errs.require(s.LogRetention >= 2*s.KeyLifetime, "log-retention", "at least twice --key-lifetime")
	errs.require(s.ClaimPartitions >= 1 && s.ClaimPartitions <= maxPartitions, "claim-partitions", "1 to 256")
	errs.require(s.ClaimHolders >= 1, "claim-holders", "1 or more")
	errs.require(s.StreamIdleTimeout >= 100*time.Millisecond, "stream-silence", "at least 100ms")
	errs.require(s.CallerStallTimeout >= time.Second, "caller-stall", "at least 1s")
	errs.require(s.LogTimeout >= 50*time.Millisecond && s.LogTimeout <= time.Minute, "log-timeout", "50ms to 1m")
	errs.require(s.LinkBytesPerSecond >= 0, "link-bytes-per-second", "zero or more")
	if len(errs) > 0 {
		return usageError{text: strings.Join(errs, "\n")}
	}
	return nil
}

func isHostPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

// isIPPort reports whether an address is an IP address and a port. Host names are not accepted.
func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

func isBaseURL(text string) bool {
	parsed, err := url.Parse(text)
	return err == nil && parsed.Scheme == "http" && parsed.Host != ""
}
