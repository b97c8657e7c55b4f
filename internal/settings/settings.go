// Package settings holds what one process is started with: its place, its
// ports, the platform's address and the files of its credentials.
package settings

import (
	"bytes"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/internal/strict"
)

// Defaults of settings that may be left out.
const (
	DefaultBodyBytes     = 8 << 20
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 5 * time.Second
	DefaultBodyTimeout   = 20 * time.Second
	DefaultTTL           = 10 * time.Second
	DefaultLag           = 5 * time.Second
	// Defaults of a gateway's bounds.
	DefaultGrace       = 8 * time.Second
	DefaultEntryTTL    = 5 * time.Second
	DefaultQuiet       = 3 * time.Second
	DefaultWeights     = 10 * time.Second
	DefaultRevoke      = 5 * time.Second
	DefaultRetryWindow = 10 * time.Second
	DefaultRetryRatio  = 0.1
	// DefaultCalls is the number of calls of the object API a second.
	DefaultCalls = 50
)

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
	// Gateway is nil unless the VM serves opaque requests for an operator whose
	// platform keeps the configuration and the list of targets.
	Gateway *Gateway `yaml:"gateway,omitempty"`
}

// Callers are the settings of the callers' port.
type Callers struct {
	Address        string        `yaml:"address"`
	TLS            TLS           `yaml:"tls,omitempty"`
	MaxBodyBytes   int64         `yaml:"body,omitempty"`
	MaxHeaderBytes int           `yaml:"header,omitempty"`
	BodyTimeout    time.Duration `yaml:"timeout,omitempty"`
}

// Operators are the settings of the operators' port. Token is the file of the
// bearer token.
type Operators struct {
	Address   string `yaml:"address"`
	TokenFile string `yaml:"token"`
	TLS       TLS    `yaml:"tls,omitempty"`
}

// Peers are the settings of the port for other VMs. Secret is the file of the
// secret that all VMs share.
type Peers struct {
	Address    string `yaml:"address"`
	SecretFile string `yaml:"secret"`
	TLS        TLS    `yaml:"tls,omitempty"`
}

// Platform are the settings of the object API and the list of VMs. Token is
// the file of the bearer token, Calls the number of calls a second that this
// process may spend.
type Platform struct {
	Address        string  `yaml:"address"`
	TokenFile      string  `yaml:"token,omitempty"`
	CallsPerSecond float64 `yaml:"calls,omitempty"`
}

// Targets are the settings of the connections to targets. Credential is the
// file of the system's own credential.
type Targets struct {
	CredentialFile string `yaml:"credential,omitempty"`
}

// Entry are the settings of answers on which VM to use. TTL is how long a
// caller keeps an answer, Lag the largest lag of the platform's list of VMs.
type Entry struct {
	TTL time.Duration `yaml:"ttl,omitempty"`
	Lag time.Duration `yaml:"lag,omitempty"`
}

// Limits are the settings of rates and bursts. Customers are divided into
// shards, and the shares of a shard into slots. The first VM of a fleet decides;
// zero values stand for the defaults of the limit package.
type Limits struct {
	Shards int `yaml:"shards,omitempty"`
	Slots  int `yaml:"slots,omitempty"`
}

// A Gateway is the settings of a VM on a platform that keeps the configuration
// and the list of targets itself. Such a VM has no files of credentials.
type Gateway struct {
	// Ready is the address of the readiness port, Directory that of the port that
	// answers which VM to use.
	ReadyAddress     string `yaml:"ready"`
	DirectoryAddress string `yaml:"directory"`
	// Seeds are addresses of other VMs' ports for VMs; they may be stale.
	Seeds []string `yaml:"seeds,omitempty"`
	// Memory is the most that the process may use, in MB.
	MemoryMB int64  `yaml:"memory,omitempty"`
	Bounds   Bounds `yaml:"bounds,omitempty"`
}

// Bounds are what the operator holds the fleet to. Bounds that are left out have
// defaults.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration `yaml:"grace,omitempty"`
	// TTL is the longest time that callers keep an answer on which VM to use.
	TTL time.Duration `yaml:"ttl,omitempty"`
	// Quiet is the time between the last order of one VM and the first of another.
	Quiet time.Duration `yaml:"quiet,omitempty"`
	// Weights is the time after which no request may begin on overtaken weights.
	Weights time.Duration `yaml:"weights,omitempty"`
	// Revoke is the time after which a withdrawn key must not work; it binds VMs
	// that hear of nothing only if Strict is set.
	Revoke time.Duration `yaml:"revoke,omitempty"`
	Strict bool          `yaml:"strict,omitempty"`
	// Retries are the bounds of sends beyond the first of each request.
	Retries Retries `yaml:"retries,omitempty"`
}

// Retries bound the sends beyond the first of each request, for the fleet and
// each service: Ratio for each request and Slack more, within Window.
type Retries struct {
	Ratio  float64       `yaml:"ratio,omitempty"`
	Slack  float64       `yaml:"slack,omitempty"`
	Window time.Duration `yaml:"window,omitempty"`
}

// TLS names the files of a certificate, its key and, where clients must show a
// certificate, the authority that signs theirs.
type TLS struct {
	CertificateFile string `yaml:"certificate,omitempty"`
	KeyFile         string `yaml:"key,omitempty"`
	AuthorityFile   string `yaml:"authority,omitempty"`
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Decode(file, data)
}

// Decode decodes and checks settings. The error lists every problem.
func Decode(file string, data []byte) (Settings, error) {
	var s Settings
	lines, err := strict.DecodeLines(file, data, &s)
	if err != nil {
		return Settings{}, err
	}
	s = s.withDefaults()
	return s, s.validate(file, lines)
}

// withDefaults fills in what may be left out.
func (s Settings) withDefaults() Settings {
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
		s.Platform.CallsPerSecond = DefaultCalls
	}
	if s.Entry.TTL == 0 {
		s.Entry.TTL = DefaultTTL
	}
	if s.Entry.Lag == 0 {
		s.Entry.Lag = DefaultLag
	}
	if s.Gateway != nil {
		g := *s.Gateway
		g.Bounds = g.Bounds.withDefaults()
		s.Gateway = &g
	}
	return s
}

func (b Bounds) withDefaults() Bounds {
	orDefault(&b.Grace, DefaultGrace)
	orDefault(&b.TTL, DefaultEntryTTL)
	orDefault(&b.Quiet, DefaultQuiet)
	orDefault(&b.Weights, DefaultWeights)
	orDefault(&b.Revoke, DefaultRevoke)
	orDefault(&b.Retries.Window, DefaultRetryWindow)
	if b.Retries.Ratio == 0 && b.Retries.Slack == 0 {
		b.Retries.Ratio = DefaultRetryRatio
	}
	return b
}

func orDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// ReadSecret returns the content of a credential file without surrounding
// white space. An empty name gives no secret.
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

// isAddress tells whether address is an IP number and a port.
func isAddress(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil
}
