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
}

// Callers are the settings of the callers' port.
type Callers struct {
	Address string        `yaml:"address"`
	TLS     TLS           `yaml:"tls,omitempty"`
	Body    int64         `yaml:"body,omitempty"`
	Header  int           `yaml:"header,omitempty"`
	Timeout time.Duration `yaml:"timeout,omitempty"`
}

// Operators are the settings of the operators' port. Token is the file of the
// bearer token.
type Operators struct {
	Address string `yaml:"address"`
	Token   string `yaml:"token"`
	TLS     TLS    `yaml:"tls,omitempty"`
}

// Peers are the settings of the port for other VMs. Secret is the file of the
// secret that all VMs share.
type Peers struct {
	Address string `yaml:"address"`
	Secret  string `yaml:"secret"`
	TLS     TLS    `yaml:"tls,omitempty"`
}

// Platform are the settings of the object API and the list of VMs. Token is
// the file of the bearer token, Calls the number of calls a second that this
// process may spend.
type Platform struct {
	Address string  `yaml:"address"`
	Token   string  `yaml:"token,omitempty"`
	Calls   float64 `yaml:"calls,omitempty"`
}

// Targets are the settings of the connections to targets. Credential is the
// file of the system's own credential.
type Targets struct {
	Credential string `yaml:"credential,omitempty"`
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

// TLS names the files of a certificate, its key and, where clients must show a
// certificate, the authority that signs theirs.
type TLS struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	Authority   string `yaml:"authority,omitempty"`
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
	if s.Callers.Body == 0 {
		s.Callers.Body = DefaultBodyBytes
	}
	if s.Callers.Header == 0 {
		s.Callers.Header = DefaultHeaderBytes
	}
	if s.Callers.Timeout == 0 {
		s.Callers.Timeout = DefaultBodyTimeout
	}
	if s.Platform.Calls == 0 {
		s.Platform.Calls = DefaultCalls
	}
	if s.Entry.TTL == 0 {
		s.Entry.TTL = DefaultTTL
	}
	if s.Entry.Lag == 0 {
		s.Entry.Lag = DefaultLag
	}
	return s
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
