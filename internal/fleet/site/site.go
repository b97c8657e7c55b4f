// Package site defines the configuration of an operator's site: routes, services,
// customers and targets. Its values are read-only once published.
package site

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A RequestKind is the kind of a route's requests. It decides whether a request may
// be executed more than once.
type RequestKind uint8

// Kinds of requests.
const (
	// Idempotent requests may be executed more than once.
	Idempotent RequestKind = iota
	// AtMostOnce requests are executed at most once.
	AtMostOnce
	// Streaming requests receive a stream of events as their response. They are
	// executed at most once unless their route is resumable.
	Streaming
)

// A Config is one version of the operator's configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[string]*Service
	Customers []Customer
	Limits    Limits

	byHost map[string][]*Route
	byKey  map[string]*Customer
	byName map[string]*Customer
	// sharedScope is the cache scope of all customers that are not isolated.
	sharedScope string
	// caches are the KV cache stores, ordered by address.
	caches []*Cache
}

// Limits holds the bounds on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Route selects the services for requests with a given host and path prefix.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    RequestKind
	Timeout time.Duration
	// LatencyGoal is the latency up to which a response earns full credit.
	LatencyGoal time.Duration
	// GapGoal is the same for the gaps between the events of a stream.
	GapGoal time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the number of targets that may run one request.
	MaxAttempts int
	Public      bool
	Affinity    bool
	Resumable   bool
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// A Share is the weight with which a route's requests go to one service.
type Share struct {
	Service string
	Weight  float64
}

// A Service is a group of targets that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil unless the targets are model engines.
	Engine *Engine
	// Cache is nil unless the service is a KV cache store.
	Cache *Cache
}

// An Engine describes the model engines of a service.
type Engine struct {
	Slots          int
	CapacityTokens int
	BytesPerToken  int
	Models         []string
}

// A Cache is a KV cache store that engines read from and write to.
type Cache struct {
	Address        string
	DataCentre     string
	CapacityTokens int
	// LinkMbps is the bandwidth of the store's link.
	LinkMbps float64
}

// rank returns the rendezvous hash of the store for a prefix.
func (c *Cache) rank(prefix uint64) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Address)
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, prefix))
	return h.Sum64()
}

// A Customer has API keys and a fleet-wide rate limit.
type Customer struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in tokens per second if ByTokens is set, otherwise in requests per
	// second, and Burst in tokens or requests. A Rate of 0 means no limit.
	Rate     float64
	Burst    float64
	ByTokens bool
	// DefaultTokens is the cost of a request that does not declare its tokens.
	DefaultTokens float64
	// Isolated reports whether the customer shares no KV cache with others.
	Isolated bool
}

// A Target is one process that runs requests, as described by its latest entry in
// the object store.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// Weights maps each model that the target has loaded to its weights version.
	Weights map[string]int64
	// Born is the start time of the target in Unix milliseconds; 0 if unknown.
	Born int64
	// Version is the version of the target's software; empty if unknown.
	Version string
}

// An Incarnation identifies one run of a target's process.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the incarnation of the target that this entry describes.
func (t *Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, Born: t.Born} }

// A Notice is what a target states in a response about further requests.
type Notice struct {
	// Leaving reports whether the target is about to end and wants no new requests.
	Leaving bool
	// Pause is how long the target wants no requests from this VM; 0 if it states
	// none.
	Pause time.Duration
	Limit Limit
}

// A Limit is the rate of requests that a target accepts from all VMs together, if it
// states one.
type Limit struct {
	Stated bool
	// Valid reports whether the stated limit can be read.
	Valid     bool
	PerSecond float64
}

// An OrderState is the state of an Order.
type OrderState uint8

// States of an Order. The last two are terminal.
const (
	// OrderNew means that the order has no status.
	OrderNew OrderState = iota
	OrderRunning
	OrderCompleted
	OrderRolledBack
)

// IsTerminal reports whether the state never changes.
func (s OrderState) IsTerminal() bool { return s == OrderCompleted || s == OrderRolledBack }

// An OrderStatus is the status of an Order as written to the store. Reason is why an order
// cannot be carried out.
type OrderStatus struct {
	State  OrderState
	To     string
	Reason string
}

// An Order asks that the traffic of a service move to the targets of another version
// within a time.
type Order struct {
	Service  string
	To       string
	Duration time.Duration
	// Invalid is why the order cannot be carried out; empty if it can.
	Invalid string
	Status  OrderStatus
	// Version is the version of the order's object.
	Version int64
}

// IsDone reports whether the status says that the order has ended.
func (o *Order) IsDone() bool { return o.Status.State.IsTerminal() && o.Status.To == o.To }

// BuildIndex builds the look-up tables of the configuration. It must be called once
// before the configuration is shared.
func (c *Config) BuildIndex() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.byKey, c.byName = map[string]*Customer{}, map[string]*Customer{}
	var isolated []string
	for i := range c.Customers {
		customer := &c.Customers[i]
		for _, key := range customer.Keys {
			c.byKey[key] = customer
		}
		c.byName[customer.Name] = customer
		if customer.Isolated {
			isolated = append(isolated, customer.Name)
		}
	}
	c.sharedScope = digestNames(isolated)
	c.caches = nil
	for _, s := range c.Services {
		if s.Cache != nil {
			c.caches = append(c.caches, s.Cache)
		}
	}
	slices.SortFunc(c.caches, func(a, b *Cache) int { return cmp.Compare(a.Address, b.Address) })
}

// digestNames returns a digest of a set of names, which is empty for the empty set.
func digestNames(names []string) string {
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	h := sha256.New()
	for _, name := range slices.Compact(names) {
		// Names are quoted so that different sets never have the same hash input.
		_, _ = h.Write([]byte(strconv.Quote(name)))
	}
	return hex.EncodeToString(h.Sum(nil)[:scopeDigestBytes])
}

// scopeDigestBytes is the length of a digest that names a cache scope.
const scopeDigestBytes = 8

// CacheScope returns the scope of the KV cache that requests of a customer may use; the
// name is empty for requests without a customer. Requests share KV cache if their scopes
// are equal.
//
// The scope of the customers that share depends on which others are isolated, so that
// what a customer made before it was isolated is in a scope that nobody uses any more.
// It follows from the configuration alone, so that VMs need no history to agree on it. A
// customer that the configuration does not contain shares nothing.
func (c *Config) CacheScope(customer string) string {
	if customer == "" {
		return c.sharedScope
	}
	if known := c.byName[customer]; known == nil || known.Isolated {
		return "@" + customer
	}
	return c.sharedScope
}

// Match returns the route of a host with the longest prefix that matches the path,
// or nil. A port in host is ignored.
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

// CustomerByKey returns the customer with the given API key, or nil.
func (c *Config) CustomerByKey(key string) *Customer {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// CacheStore returns the KV cache store for prompts with the given prefix, or nil if there is
// none. All VMs choose the same one of several stores, so that a prefix is written to one
// store and fetched from there.
func (c *Config) CacheStore(prefix uint64) *Cache {
	var best *Cache
	highest := uint64(0)
	for _, cache := range c.caches {
		if rank := cache.rank(prefix); best == nil || rank > highest {
			best, highest = cache, rank
		}
	}
	return best
}

// CacheCapacity returns the number of tokens that all KV cache stores hold together.
func (c *Config) CacheCapacity() int {
	tokens := 0
	for _, cache := range c.caches {
		tokens += cache.CapacityTokens
	}
	return tokens
}
