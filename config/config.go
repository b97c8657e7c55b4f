// Package config manages the configuration that operators edit: customers with
// their keys, rates and bursts, routes, models and targets. The configuration
// has a version number, and every VM has one version in force.
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

// Values of Key.Withdrawn. A key with the empty value is in force.
const (
	// WithdrawnFinish refuses the key for new requests and lets running
	// responses finish.
	WithdrawnFinish = "finish"
	// WithdrawnCut refuses the key and aborts running responses with an error.
	WithdrawnCut = "cut"
)

// A Config is one version of the configuration. It must not be modified once
// Version is set. Version 0 is the empty configuration.
type Config struct {
	Version   int64      `json:"version" yaml:"version,omitempty"`
	Customers []Customer `json:"customers" yaml:"customers"`
	Routes    []Route    `json:"routes" yaml:"routes"`
	Models    []Model    `json:"models" yaml:"models"`
	Targets   []Target   `json:"targets" yaml:"targets"`
	// Retired lists the digests of withdrawn keys that no customer lists any
	// more. A patch cannot put such a key back into force by mistake.
	Retired []string `json:"retired,omitempty" yaml:"retired,omitempty"`
}

// A Customer is one tenant. Routes lists the routes requiring a key that the
// customer may use.
type Customer struct {
	Name   string   `json:"name" yaml:"name"`
	Keys   []Key    `json:"keys" yaml:"keys"`
	Rate   Rate     `json:"rate" yaml:"rate"`
	Routes []string `json:"routes" yaml:"routes"`
}

// A Key is one API key of a customer. Only its digest is stored.
type Key struct {
	ID string `json:"id" yaml:"id"`
	// Digest is the SHA-256 of the secret in lower-case hexadecimal.
	Digest    string `json:"digest" yaml:"digest"`
	Withdrawn string `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty" permitted:"finish,cut"`
}

// A Rate limits a customer across all VMs. Requests and Tokens are per second.
type Rate struct {
	Requests     float64 `json:"requests" yaml:"requests"`
	RequestBurst float64 `json:"requestburst" yaml:"requestburst"`
	Tokens       float64 `json:"tokens" yaml:"tokens"`
	TokenBurst   float64 `json:"tokenburst" yaml:"tokenburst"`
}

// A Route is a named destination for callers' requests. Pool is the pool of
// targets that serve it. Model, Version and Adapters are set only for routes
// of kind model.
type Route struct {
	Name     string   `json:"name" yaml:"name"`
	Kind     string   `json:"kind" yaml:"kind" permitted:"model,service"`
	Pool     string   `json:"pool" yaml:"pool"`
	Open     bool     `json:"open,omitempty" yaml:"open,omitempty"`
	Model    string   `json:"model,omitempty" yaml:"model,omitempty"`
	Version  string   `json:"version,omitempty" yaml:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// Idempotent allows a request to be executed more than once.
	Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// Once executes a request at most once. Requests need an idempotency key,
	// and the outcome is stored.
	Once bool `json:"once,omitempty" yaml:"once,omitempty"`
	// Deadline bounds the time to the first byte of the response.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
	// Priority is passed to engines, which run requests with larger values
	// first.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Secrets lists additional headers that may carry a caller's key.
	Secrets []string `json:"secrets,omitempty" yaml:"secrets,omitempty"`
	// Queue is the maximum number of queued requests on one VM.
	Queue int `json:"queue,omitempty" yaml:"queue,omitempty"`
}

// A Model is a set of weights with its versions and adapters. Piece is the
// number of prompt bytes in one piece of the prefix cache.
type Model struct {
	Name     string   `json:"name" yaml:"name"`
	Versions []string `json:"versions" yaml:"versions"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	Piece    int      `json:"piece" yaml:"piece"`
}

// A Target is one engine, service or KV cache store. Address is IP:port.
type Target struct {
	Name       string `json:"name" yaml:"name"`
	Kind       string `json:"kind" yaml:"kind" permitted:"engine,service,cache"`
	Pool       string `json:"pool" yaml:"pool"`
	Address    string `json:"address" yaml:"address"`
	DataCentre string `json:"datacentre" yaml:"datacentre"`
	// Fencing reports whether the target refuses orders with an outdated
	// fencing token.
	Fencing bool `json:"fencing,omitempty" yaml:"fencing,omitempty"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots,omitempty" yaml:"slots,omitempty"`
	// Role is the role that the engine is to have, in the engine's own terms.
	// If it is empty, the engine's role is not changed.
	Role string `json:"role,omitempty" yaml:"role,omitempty"`
}
