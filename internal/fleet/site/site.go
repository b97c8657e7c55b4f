// Package site describes what an operator runs behind the entry VMs: routes,
// services, customers and targets. Its values are read-only once published.
package site

import (
	"strings"
	"time"
)

// A Work is what a request may do to the world, which decides what may be
// repeated.
type RequestKind uint8

// Kinds of work.
const (
	// Idempotent work may run more than once.
	Idempotent RequestKind = iota
	// OnceOnly work runs at most once for each request.
	AtMostOnce
	// Streaming work answers with events. It is once-only unless its route is
	// resumable.
	Streaming
)

// A Config is one version of what the operator wants.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[string]*Service
	Customers []Customer
	Limits    Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Route selects a service for requests of one host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        RequestKind
	Timeout     time.Duration
	LatencyGoal time.Duration
	GapGoal     time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// Attempts is the number of targets that may run one request.
	MaxAttempts int
	Public      bool
	Affinity    bool
	Resumable   bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// A Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  float64
}

// A Service is a group of targets that answer the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil unless the targets are model engines.
	Engine *Engine
	// Cache is nil unless the service is a store of KV cache.
	Cache *Cache
}

// An Engine describes the model engines of a service.
type Engine struct {
	Slots          int
	CapacityTokens int
	BytesPerToken  int
	Models         []string
}

// A Cache is a store of KV cache that engines read from and write to.
type Cache struct {
	Address        string
	DataCentre     string
	CapacityTokens int
	// LinkMbps is the bandwidth of the store's link.
	LinkMbps float64
}

// A Customer is the holder of keys and of a fleet-wide limit.
type Customer struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's if Ranked.
	Priority    int
	HasPriority bool
	// Rate and Burst are in tokens or requests a second, by ByTokens. A Rate of 0
	// is no limit.
	Rate     float64
	Burst    float64
	ByTokens bool
	// DefaultTokens is the cost of a request that does not declare its tokens.
	DefaultTokens float64
	// Isolated customers share no KV cache with others.
	Isolated bool
}

// A Target is one process that runs requests, as it last described itself.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// Weights is the version of each model that the target has loaded.
	Weights map[string]int64
	// Born is the time of the target's start in Unix milliseconds; 0 if unknown.
	Born int64
}

// Incarnation tells one start of a target from another.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the start of the target that this entry describes.
func (t *Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, Born: t.Born} }

// Index builds the look-up tables of the configuration. It must be called once
// before the configuration is shared.
func (c *Config) BuildIndex() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.byKey = map[string]*Customer{}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			c.byKey[key] = &c.Customers[i]
		}
	}
}

// Match returns the route of a host whose prefix is the longest that begins the
// path, or nil. A port in host is ignored.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Holder returns the customer that holds a key, or nil.
func (c *Config) CustomerByKey(key string) *Customer {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// CacheStore returns the store of KV cache that engines may use, or nil.
func (c *Config) CacheStore() *Cache {
	for _, s := range c.Services {
		if s.Cache != nil {
			return s.Cache
		}
	}
	return nil
}
