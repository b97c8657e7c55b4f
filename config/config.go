// Package config holds what operators configure: customers with their keys,
// rates and bursts, routes, models and targets, as one numbered version that
// every VM has in force.
package config

import "time"

// Values of Route.Kind.
const (
	RouteModel   = "model"
	RouteService = "service"
)

// Values of Target.Kind.
const (
	TargetEngine  = "engine"
	TargetService = "service"
	TargetCache   = "cache"
)

// Values of Key.Withdrawn. The empty value is a key in force.
const (
	// WithdrawnFinish refuses the key and lets running answers finish.
	WithdrawnFinish = "finish"
	// WithdrawnCut refuses the key and ends running answers with an error.
	WithdrawnCut = "cut"
)

// A Config is one version of the configuration. It is immutable once it has a
// Version. Version 0 is the empty configuration.
type Config struct {
	Version   int64      `json:"version" yaml:"version,omitempty"`
	Customers []Customer `json:"customers" yaml:"customers"`
	Routes    []Route    `json:"routes" yaml:"routes"`
	Models    []Model    `json:"models" yaml:"models"`
	Targets   []Target   `json:"targets" yaml:"targets"`
	// Retired holds the digests of withdrawn keys that no customer lists any
	// more, so that none comes back unnoticed.
	Retired []string `json:"retired,omitempty" yaml:"retired,omitempty"`
}

// A Customer is one tenant. Routes names the keyed routes that it may use.
type Customer struct {
	Name   string   `json:"name" yaml:"name"`
	Keys   []Key    `json:"keys" yaml:"keys"`
	Rate   Rate     `json:"rate" yaml:"rate"`
	Routes []string `json:"routes" yaml:"routes"`
}

// A Key is one secret of a customer, kept as a digest only.
type Key struct {
	ID string `json:"id" yaml:"id"`
	// Digest is the lower-case hexadecimal SHA-256 of the secret.
	Digest    string `json:"digest" yaml:"digest"`
	Withdrawn string `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty" permitted:"finish,cut"`
}

// A Rate limits a customer over all VMs together. Rates are per second.
type Rate struct {
	Requests     float64 `json:"requests" yaml:"requests"`
	RequestBurst float64 `json:"requestburst" yaml:"requestburst"`
	Tokens       float64 `json:"tokens" yaml:"tokens"`
	TokenBurst   float64 `json:"tokenburst" yaml:"tokenburst"`
}

// A Route is a name that callers send requests to. Pool names the targets that
// serve it. Model, Version and Adapters are for model routes only.
type Route struct {
	Name     string   `json:"name" yaml:"name"`
	Kind     string   `json:"kind" yaml:"kind" permitted:"model,service"`
	Pool     string   `json:"pool" yaml:"pool"`
	Open     bool     `json:"open,omitempty" yaml:"open,omitempty"`
	Model    string   `json:"model,omitempty" yaml:"model,omitempty"`
	Version  string   `json:"version,omitempty" yaml:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// Idempotent allows a request to be run more than once.
	Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// Once requires an idempotency key and remembers the outcome.
	Once bool `json:"once,omitempty" yaml:"once,omitempty"`
	// Deadline bounds the time to the first byte of the answer.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
	// Priority is passed to engines; larger values run first.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Secrets names further headers that may carry a caller's key.
	Secrets []string `json:"secrets,omitempty" yaml:"secrets,omitempty"`
	// Queue is the largest number of waiting requests on one VM.
	Queue int `json:"queue,omitempty" yaml:"queue,omitempty"`
}

// A Model is a set of weights with its versions and adapters. Piece is the
// number of prompt bytes in one cached piece.
type Model struct {
	Name     string   `json:"name" yaml:"name"`
	Versions []string `json:"versions" yaml:"versions"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Piece    int      `json:"piece" yaml:"piece"`
}

// A Target is one engine, plain service or KV cache. Address is IP:port.
type Target struct {
	Name       string `json:"name" yaml:"name"`
	Kind       string `json:"kind" yaml:"kind" permitted:"engine,service,cache"`
	Pool       string `json:"pool" yaml:"pool"`
	Address    string `json:"address" yaml:"address"`
	DataCentre string `json:"datacentre" yaml:"datacentre"`
	// Fencing tells that the target refuses orders with an old fencing number.
	Fencing bool `json:"fencing,omitempty" yaml:"fencing,omitempty"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Role is the role that an engine shall have, in its own words. An empty one
	// leaves the engine's role alone.
	Role string `json:"role,omitempty" yaml:"role,omitempty"`
}
