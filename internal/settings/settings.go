// Package settings reads the settings file of a process: its location, its ports,
// the address of the platform and the files with its credentials.
package settings

import (
	"bytes"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/internal/strict"
)

// Defaults of optional settings.
const (
	DefaultBodyBytes     = 8 << 20
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 20 * time.Second
	DefaultDirectoryTTL  = 10 * time.Second
	DefaultDirectoryLag  = 5 * time.Second
	// Defaults of Bounds.
	DefaultGrace       = 8 * time.Second
	DefaultGatewayTTL  = 5 * time.Second
	DefaultOrderQuiet  = 3 * time.Second
	DefaultWeights     = 10 * time.Second
	DefaultRevoke      = 5 * time.Second
	DefaultConfig      = 10 * time.Second
	DefaultDrain       = 10 * time.Second
	DefaultRetryWindow = 10 * time.Second
	DefaultRetryRatio  = 0.1
	// Defaults of Canary.
	DefaultCanaryShare    = 0.1
	DefaultCanaryRollback = 5 * time.Second
	// DefaultHedgeQuantile is the default of Hedge.Quantile.
	DefaultHedgeQuantile = 0.95
	// DefaultCallsPerSecond is the number of calls of the object store per second.
	DefaultCallsPerSecond = 50
)

const (
	// answersDivisor divides the memory of a process to get that for answers. The
	// garbage collector's limit is half of the memory, and answers of targets and of the
	// platform together take a quarter of that at most.
	answersDivisor = 16
	// requestsShare / requestsDivisor is the part of the memory for callers. With that for
	// answers it is half of the memory, which is the garbage collector's limit.
	requestsShare, requestsDivisor = 3, 8
	// defaultAnswers is the memory for answers of a process without a limit.
	defaultAnswers = 64 << 20
)

// AnswerBytes returns what answers may take of the memory, in bytes.
func (g *Gateway) AnswerBytes() int64 {
	switch {
	case g.AnswersMB > 0:
		return g.AnswersMB << 20
	case g.MemoryMB > 0:
		return g.MemoryMB << 20 / answersDivisor
	}
	return defaultAnswers
}

// RequestBytes returns what callers may take of the memory, in bytes; 0 is no limit.
func (g *Gateway) RequestBytes() int64 {
	if g.RequestsMB > 0 {
		return g.RequestsMB << 20
	}
	return g.MemoryMB << 20 * requestsShare / requestsDivisor
}

// A Settings is the settings file of one process. Addresses are IP:port.
type Settings struct {
	VM         string    `yaml:"vm"`
	Region     string    `yaml:"region"`
	DataCentre string    `yaml:"datacentre"`
	Callers    Callers   `yaml:"callers"`
	Operators  Operators `yaml:"operators"`
	Peers      Peers     `yaml:"peers"`
	Platform   Platform  `yaml:"platform"`
	Targets    Targets   `yaml:"targets"`
	Entry      Entry     `yaml:"entry"`
	Limits     Limits    `yaml:"limits,omitempty"`
	// Gateway is nil unless the VM serves requests for an operator whose platform
	// holds the configuration and the list of targets. Such requests are forwarded
	// without interpreting their bodies.
	Gateway *Gateway `yaml:"gateway,omitempty"`
}

// Callers holds the settings of the callers' port.
type Callers struct {
	Address        string        `yaml:"address"`
	TLS            TLS           `yaml:"tls,omitempty"`
	MaxBodyBytes   int64         `yaml:"body,omitempty"`
	MaxHeaderBytes int           `yaml:"header,omitempty"`
	BodyTimeout    time.Duration `yaml:"timeout,omitempty"`
}

// Operators holds the settings of the operators' port. TokenFile contains the
// bearer token.
type Operators struct {
	Address   string `yaml:"address"`
	TokenFile string `yaml:"token"`
	TLS       TLS    `yaml:"tls,omitempty"`
}

// Peers holds the settings of the port for other VMs. SecretFile contains the
// secret that all VMs share.
type Peers struct {
	Address    string `yaml:"address"`
	SecretFile string `yaml:"secret"`
	TLS        TLS    `yaml:"tls,omitempty"`
}

// Platform holds the settings of the object store and the list of VMs. TokenFile
// contains the bearer token, and CallsPerSecond limits the calls of this process.
type Platform struct {
	Address        string  `yaml:"address"`
	TokenFile      string  `yaml:"token,omitempty"`
	CallsPerSecond float64 `yaml:"calls,omitempty"`
}

// Targets holds the settings of the connections to targets. CredentialFile contains
// the credential that is presented to targets.
type Targets struct {
	CredentialFile string `yaml:"credential,omitempty"`
}

// Entry holds the settings of the directory, which callers query for the VM to use.
// TTL is how long a caller may cache a response, and Lag the largest delay of the
// platform's list of VMs.
type Entry struct {
	TTL time.Duration `yaml:"ttl,omitempty"`
	Lag time.Duration `yaml:"lag,omitempty"`
}

// Limits holds the settings of rate limits. Customers are divided into shards, and
// the shares of a shard into slots. The values of the first VM of a fleet apply to
// all VMs. Zero values select the defaults of the limit package.
type Limits struct {
	Shards int `yaml:"shards,omitempty"`
	Slots  int `yaml:"slots,omitempty"`
}

// A Gateway holds the settings of a VM on a platform that holds the configuration
// and the list of targets. Such a VM has no credential files.
type Gateway struct {
	// ReadyAddress is the address of the readiness port, and DirectoryAddress that of
	// the port on which callers ask which VM to use.
	ReadyAddress     string `yaml:"ready"`
	DirectoryAddress string `yaml:"directory"`
	// Seeds lists the peer addresses of other VMs. They may be stale.
	Seeds []string `yaml:"seeds,omitempty"`
	// MemoryMB is the memory limit of the process in MB; 0 means no limit.
	MemoryMB int64 `yaml:"memory,omitempty"`
	// AnswersMB is what answers of targets, and once more those of the platform, may
	// take of the memory beyond 64 KB each; 0 means a sixteenth of MemoryMB.
	AnswersMB int64 `yaml:"answers,omitempty"`
	// RequestsMB is what callers' connections, requests and unread answers may take of the
	// memory; 0 means three eighths of MemoryMB, and no limit without that.
	RequestsMB int64 `yaml:"requests,omitempty"`
	// Connections bounds callers' connections; 0 means seven tenths of the descriptors.
	Connections int    `yaml:"connections,omitempty"`
	Bounds      Bounds `yaml:"bounds,omitempty"`
	// Contracts are the contracts that the operator has in force, in the platform's
	// words. Package platform translates those that switch on a part of the gateway.
	Contracts []string `yaml:"contracts,omitempty"`
	// Admission switches on admission control under overload, and TrafficMoves the
	// moving of a service's traffic between versions of its targets, whatever the
	// contracts are.
	Admission    bool  `yaml:"admission,omitempty"`
	TrafficMoves bool  `yaml:"trafficmoves,omitempty"`
	Hedge        Hedge `yaml:"hedge,omitempty"`
}

// A Hedge holds the settings of second requests for slow responses. They are off while
// Requests or Tokens is 0.
type Hedge struct {
	// Routes are the names of the routes whose requests may be sent a second time; all
	// routes whose requests may be repeated if there are none.
	Routes []string `yaml:"routes,omitempty"`
	// Requests and Tokens are the extra work that second requests may cause, as shares of
	// the requests and of their prompt tokens.
	Requests float64 `yaml:"requests,omitempty"`
	Tokens   float64 `yaml:"tokens,omitempty"`
	// Quantile is the quantile of the usual latency from which on a response is slow.
	Quantile float64 `yaml:"quantile,omitempty"`
}

// Bounds holds the time limits and retry limits that the operator requires of the
// fleet.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration `yaml:"grace,omitempty"`
	// TTL is the longest time for which callers cache which VM to use.
	TTL time.Duration `yaml:"ttl,omitempty"`
	// Quiet is the time between the last load order of one VM and the first of
	// another.
	Quiet time.Duration `yaml:"quiet,omitempty"`
	// Weights is the time after which no request may start on superseded weights.
	Weights time.Duration `yaml:"weights,omitempty"`
	// Revoke is the time after which a withdrawn key must be rejected. It applies to
	// VMs that receive no updates only if Strict is set.
	Revoke time.Duration `yaml:"revoke,omitempty"`
	Strict bool          `yaml:"strict,omitempty"`
	// Config and Drain are the times after which a change of the configuration, and
	// the leaving of a target, must be in force on all VMs.
	Config time.Duration `yaml:"config,omitempty"`
	Drain  time.Duration `yaml:"drain,omitempty"`
	// Retries limits the attempts after the first one of each request.
	Retries Retries `yaml:"retries,omitempty"`
	// Canary bounds what a version of a service gets before it is trusted.
	Canary Canary `yaml:"canary,omitempty"`
}

// A Canary bounds the traffic of a version of a service that is not trusted yet: from the
// order until its deadline at most Share of the service's requests plus Slack, and none
// that is sent later than Rollback after the version has turned out to be bad.
type Canary struct {
	Share    float64       `yaml:"share,omitempty"`
	Slack    float64       `yaml:"slack,omitempty"`
	Rollback time.Duration `yaml:"rollback,omitempty"`
}

// Retries limits the attempts after the first one of each request, for the fleet and
// for each service: within Window, Ratio attempts per request plus Slack.
type Retries struct {
	Ratio  float64       `yaml:"ratio,omitempty"`
	Slack  float64       `yaml:"slack,omitempty"`
	Window time.Duration `yaml:"window,omitempty"`
}

// TLS holds the names of the files with a certificate, its key and, if clients must
// present a certificate, the certificate authority that signs it.
type TLS struct {
	CertificateFile string `yaml:"certificate,omitempty"`
	KeyFile         string `yaml:"key,omitempty"`
	AuthorityFile   string `yaml:"authority,omitempty"`
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Decode(file, data)
}

// Decode decodes and validates settings. The error lists all problems.
func Decode(file string, data []byte) (Settings, error) {
	var s Settings
	lines, err := strict.DecodeLines(file, data, &s)
	if err != nil {
		return Settings{}, err
	}
	s = s.WithDefaults()
	return s, s.validate(file, lines)
}

// WithDefaults returns the settings with the optional ones that are missing set to their
// defaults. Decode includes it.
func (s Settings) WithDefaults() Settings {
	if s.Callers.MaxBodyBytes == 0 {
		s.Callers.MaxBodyBytes = DefaultBodyBytes
	}
	if s.Callers.MaxHeaderBytes == 0 {
		s.Callers.MaxHeaderBytes = DefaultHeaderBytes
	}
	if s.Callers.BodyTimeout == 0 {
		s.Callers.BodyTimeout = DefaultBodyTimeout
	}
	if s.Platform.CallsPerSecond == 0 {
		s.Platform.CallsPerSecond = DefaultCallsPerSecond
	}
	if s.Entry.TTL == 0 {
		s.Entry.TTL = DefaultDirectoryTTL
	}
	if s.Entry.Lag == 0 {
		s.Entry.Lag = DefaultDirectoryLag
	}
	if s.Gateway != nil {
		g := *s.Gateway
		g.Bounds = g.Bounds.withDefaults()
		if g.Hedge.Quantile == 0 {
			g.Hedge.Quantile = DefaultHedgeQuantile
		}
		s.Gateway = &g
	}
	return s
}

func (b Bounds) withDefaults() Bounds {
	orDefault(&b.Grace, DefaultGrace)
	orDefault(&b.TTL, DefaultGatewayTTL)
	orDefault(&b.Quiet, DefaultOrderQuiet)
	orDefault(&b.Weights, DefaultWeights)
	orDefault(&b.Revoke, DefaultRevoke)
	orDefault(&b.Config, DefaultConfig)
	orDefault(&b.Drain, DefaultDrain)
	orDefault(&b.Retries.Window, DefaultRetryWindow)
	if b.Retries.Ratio == 0 && b.Retries.Slack == 0 {
		b.Retries.Ratio = DefaultRetryRatio
	}
	if b.Canary.Share == 0 {
		b.Canary.Share = DefaultCanaryShare
	}
	orDefault(&b.Canary.Rollback, DefaultCanaryRollback)
	return b
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// ReadSecret returns the content of a credential file without surrounding white
// space. It returns nil for an empty file name.
func ReadSecret(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read credential")
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return nil, eris.Errorf("credential file %s is empty", file)
	}
	return data, nil
}

// isAddress reports whether address consists of an IP address and a port.
func isAddress(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}
