// Package target knows the engines, plain services and KV caches that requests
// are sent to: their protocol, their reported state corrected by what this VM
// sent since, and their health.
package target

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Headers of the protocol between a VM and an engine or service. They hold no
// caller's secret.
const (
	// HeaderRequestID carries the request id from the caller to the target.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttempt carries the attempt id, unique for every send.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderIncarnation carries the engine incarnation that the request was
	// routed on, and in answers the engine's own. An engine with another
	// incarnation answers 409 and does not run the request.
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderWeights carries the weight version in the same way.
	HeaderWeights = "X-Weights-Version"
	// HeaderPriority carries the priority, an integer; larger runs first.
	HeaderPriority = "X-Priority"
	// HeaderSalt carries the cache salt: entries are shared only between
	// requests with the same salt.
	HeaderSalt = "X-Cache-Salt"
	// HeaderPieces carries the piece keys of the prompt in order, as 16
	// hexadecimal digits each, separated by commas.
	HeaderPieces = "X-Prefix-Pieces"
	// HeaderResume carries the offset of the first event wanted when a stream
	// is resumed under the request's id.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderNotRun is "true" on an answer of a target that states that it did
	// not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderFence carries the fencing number of an order.
	HeaderFencingToken = "X-Fencing-Token"
)

// A Request is one request as it is sent to a target. Incarnation and Weights
// are empty for services. Resume is the offset of the first event wanted; zero
// starts the request.
type Request struct {
	ID          string
	Attempt     string
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	Incarnation string
	Weights     string
	Salt        string
	Pieces      []uint64
	Priority    int
	Resume      int64
}

// A Response is the start of a target's answer. The body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// A Result is the outcome of a Send: Answered, NotRun or Lost.
type Result interface{ result() }

// Answered reports that the target began to answer.
type Responded struct{ Response Response }

// NotRun reports that the target provably did not run the request: nothing of
// it was sent, or the target said so.
type NotRun struct {
	Reason string
	// Stale tells that the target has another incarnation or weight version.
	Stale bool
	// Unreachable tells that no connection was made.
	Unreachable bool
}

// Lost reports that the target may have run the request.
type Lost struct{ Err error }

func (Responded) result() {}
func (NotRun) result()    {}
func (Lost) result()      {}

// A Report is what an engine says of itself, with a lag. Queued and Running
// count requests; Pending is the number of prompt tokens that wait to be
// computed. PrefillRate is prompt tokens computed a second.
type Report struct {
	Incarnation   string    `json:"incarnation"`
	Weights       string    `json:"weights"`
	Models        []Loaded  `json:"models"`
	Role          string    `json:"role,omitempty"`
	Queued        int       `json:"queued"`
	Running       int       `json:"running"`
	PendingTokens int       `json:"pending"`
	PrefillRate   float64   `json:"prefillrate"`
	EvictionRate  float64   `json:"evictions"`
	CachePieces   int       `json:"cachepieces"`
	Leaving       bool      `json:"leaving"`
	TakenAt       time.Time `json:"taken"`
}

// A Loaded is one model that an engine holds.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// Values of CacheEvent.Kind.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
	EventCleared = "cleared"
)

// A CacheEvent is one change of an engine's prefix cache. Sequence numbers of
// one incarnation grow by one.
type CacheEvent struct {
	Sequence    uint64   `json:"sequence"`
	Incarnation string   `json:"incarnation"`
	Weights     string   `json:"weights"`
	Kind        string   `json:"kind"`
	Pieces      []uint64 `json:"pieces"`
}

// A CacheSnapshot is the whole prefix cache of an engine at a sequence number.
type CacheSnapshot struct {
	Sequence    uint64   `json:"sequence"`
	Incarnation string   `json:"incarnation"`
	Weights     string   `json:"weights"`
	Pieces      []uint64 `json:"pieces"`
}

// Values of Order.Kind.
const (
	OrderLoad    = "load"
	OrderUnload  = "unload"
	OrderAdapter = "adapter"
	OrderRole    = "role"
)

// An Order asks an engine for a wanted end state. Carrying it out twice is the
// same as once.
type Order struct {
	ID           string        `json:"id"`
	Kind         string        `json:"kind"`
	Model        string        `json:"model,omitempty"`
	Version      string        `json:"version,omitempty"`
	Adapter      string        `json:"adapter,omitempty"`
	Role         string        `json:"role,omitempty"`
	Lifetime     time.Duration `json:"lifetime"`
	FencingToken int64         `json:"fence"`
}

// An OrderResult is the outcome of an order: OrderDone, OrderRefused or
// OrderLost.
type OrderResult interface{ orderResult() }

// OrderDone reports an order that the engine carried out.
type OrderDone struct{}

// OrderRefused reports an order that the engine did not carry out. Fenced tells
// that it has seen a newer fencing number.
type OrderRefused struct {
	Reason string
	Fenced bool
}

// OrderLost reports an order that may have been carried out.
type OrderLost struct{ Err error }

func (OrderDone) orderResult()    {}
func (OrderRefused) orderResult() {}
func (OrderLost) orderResult()    {}

// A Client speaks the protocol of targets. Addresses are IP:port. The paths of
// the HTTP variant are /load, /events?after=N (one JSON object a line),
// /snapshot, /orders, /cancel?id=N and /import of engines, and /pieces?keys=K,L
// of KV caches; requests keep the path that they came with.
type Client interface {
	Send(ctx context.Context, address string, r Request) Result
	Cancel(ctx context.Context, address, requestID string) error
	Load(ctx context.Context, address string) (Report, error)
	Events(ctx context.Context, address string, after uint64) (<-chan CacheEvent, error)
	Snapshot(ctx context.Context, address string) (CacheSnapshot, error)
	Order(ctx context.Context, address string, o Order) OrderResult
	// Transfer asks the engine at address to import pieces from a KV cache.
	Transfer(ctx context.Context, address, cache string, pieces []uint64) error
}

// A CacheReader is a Client that can ask KV caches what they hold.
type CacheReader interface {
	// Cached returns how many of the pieces, from the first on, the KV cache at
	// address holds.
	Cached(ctx context.Context, address string, pieces []uint64) (int, error)
}
