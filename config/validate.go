package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// MaxDeadline is the longest deadline of a route.
	MaxDeadline = 10 * time.Minute
	// maxRate bounds rates and bursts.
	maxRate = 1e9
	// maxPiece bounds the number of bytes in one piece of the prefix cache.
	maxPiece = 1 << 20

	permittedName   = "1 to 64 of a-z, A-Z, 0-9, '-', '_', '.' and ':'"
	permittedDigest = "64 lower-case hexadecimal digits, the SHA-256 of the secret"
	permittedHeader = "a header name such as X-Session"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	headerPattern = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
)

// Decode decodes a complete configuration from YAML and validates it. The
// error is a *Problems.
func Decode(file string, data []byte) (*Config, error) {
	cfg := &Config{}
	lines, err := DecodeYAML(file, data, cfg)
	if err != nil {
		return nil, err
	}
	r := &Report{File: file, Lines: lines}
	cfg.check(r)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// Validate checks a configuration. The error is a *Problems with all problems
// found.
func Validate(cfg *Config) error {
	r := &Report{}
	cfg.check(r)
	return r.Err()
}

// A checker validates a configuration. Its maps index the items that others
// refer to.
type checker struct {
	*Report
	cfg     *Config
	routes  map[string]*Route
	models  map[string]*Model
	pools   map[string][]*Target
	digests map[string]string // maps digests to the fields that contain them
}

func (cfg *Config) check(r *Report) {
	c := &checker{
		Report:  r,
		cfg:     cfg,
		routes:  map[string]*Route{},
		models:  map[string]*Model{},
		pools:   map[string][]*Target{},
		digests: map[string]string{},
	}
	if cfg.Version < 0 {
		c.Add("version", "0 or more", "is %d", cfg.Version)
	}
	c.indexItems()
	c.checkRetired()
	c.checkModels()
	c.checkTargets()
	c.checkRoutes()
	c.checkCustomers()
}

func (c *checker) indexItems() {
	for i := range c.cfg.Routes {
		c.routes[c.cfg.Routes[i].Name] = &c.cfg.Routes[i]
	}
	for i := range c.cfg.Models {
		c.models[c.cfg.Models[i].Name] = &c.cfg.Models[i]
	}
	for i := range c.cfg.Targets {
		t := &c.cfg.Targets[i]
		c.pools[t.Pool] = append(c.pools[t.Pool], t)
	}
}

func (c *checker) checkRetired() {
	for i, digest := range c.cfg.Retired {
		path := fmt.Sprintf("retired[%d]", i)
		if !digestPattern.MatchString(digest) {
			c.Add(path, permittedDigest, "is no digest")
		}
		c.digests[digest] = path
	}
}

func (c *checker) checkModels() {
	names := c.newNameSet()
	for i := range c.cfg.Models {
		m := &c.cfg.Models[i]
		path := "models[" + label(m.Name, i) + "]"
		names.check(path, m.Name)
		if len(m.Versions) == 0 {
			c.Add(path+".versions", "at least one", "is empty")
		}
		c.checkNames(path+".versions", m.Versions)
		c.checkNames(path+".adapters", m.Adapters)
		if m.Piece <= 0 || m.Piece > maxPiece {
			c.Add(path+".piece", fmt.Sprintf("1 to %d bytes", maxPiece), "is %d", m.Piece)
		}
	}
}

func (c *checker) checkTargets() {
	names := c.newNameSet()
	addresses := map[string]string{}
	for i := range c.cfg.Targets {
		t := &c.cfg.Targets[i]
		path := "targets[" + label(t.Name, i) + "]"
		names.check(path, t.Name)
		c.checkOneOf(path+".kind", t.Kind, TargetEngine, TargetService, TargetCache)
		c.checkName(path+".pool", t.Pool)
		c.checkName(path+".datacentre", t.DataCentre)
		c.checkAddress(path+".address", t.Address)
		if first, duplicate := addresses[t.Address]; duplicate {
			c.Add(path+".address", "", "is the address of %s too", first)
		}
		addresses[t.Address] = path
		if t.Role != "" && t.Kind != TargetEngine {
			c.Add(path+".role", "none, or a target of kind engine", "is set for a %s", t.Kind)
		}
		if t.Slots < 0 {
			c.Add(path+".slots", "0 or more", "is %d", t.Slots)
		}
	}
}

func (c *checker) checkAddress(path, address string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.Add(path, "an IP number and a port, such as 10.0.0.7:8000 or [fd00::7]:8000", "is %q", address)
	}
}

func (c *checker) checkOneOf(path, v string, permitted ...string) {
	if !slices.Contains(permitted, v) {
		c.Add(path, strings.Join(permitted, ", "), "is %q", v)
	}
}

func (c *checker) checkName(path, v string) {
	if !namePattern.MatchString(v) {
		c.Add(path, permittedName, "is %q", v)
	}
}

// checkNames checks that the names in a list are valid and unique.
func (c *checker) checkNames(path string, list []string) {
	seen := map[string]bool{}
	for i, v := range list {
		field := fmt.Sprintf("%s[%d]", path, i)
		c.checkName(field, v)
		if seen[v] {
			c.Add(field, "", "is %q, which stands twice", v)
		}
		seen[v] = true
	}
}

// A nameSet finds duplicate names among the items of one kind.
type nameSet struct {
	c    *checker
	seen map[string]bool
}

func (c *checker) newNameSet() *nameSet { return &nameSet{c: c, seen: map[string]bool{}} }

func (s *nameSet) check(path, name string) {
	s.c.checkName(path+".name", name)
	if s.seen[name] {
		s.c.Add(path+".name", "", "is %q, which stands twice", name)
	}
	s.seen[name] = true
}

// firstNames returns the first few names in sorted order, as suggestions for a
// problem.
func firstNames(names []string) string {
	const maxNames = 8
	names = slices.Sorted(slices.Values(names))
	if len(names) > maxNames {
		names = append(names[:maxNames:maxNames], "…")
	}
	return strings.Join(names, ", ")
}
