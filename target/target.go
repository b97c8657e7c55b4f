// Package target implements the protocol of targets, which are engines, plain
// services and KV caches, and tracks their reported state and health.
package target

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Headers of the protocol between a VM and an engine or service. None of them
// contains a secret of the caller.
const (
	// HeaderRequestID carries the request id from the caller to the target.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID carries the attempt id, which is unique for each send.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderIncarnation carries the engine incarnation for which the request was
	// routed, and in responses the engine's own. An engine with another
	// incarnation responds with 409 and does not run the request.
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderWeights carries the weights version in the same way.
	HeaderWeights = "X-Weights-Version"
	// HeaderPriority carries the priority, an integer. Requests with a higher
	// priority run first.
	HeaderPriority = "X-Priority"
	// HeaderSalt carries the cache salt: entries are shared only between
	// requests with the same salt.
	HeaderSalt = "X-Cache-Salt"
	// HeaderPieces carries the piece keys of the prompt in order, each with 16
	// hexadecimal digits, separated by commas.
	HeaderPieces = "X-Prefix-Pieces"
	// HeaderResumeFrom carries the offset of the first event to send when a
	// stream is resumed. The request id identifies the stream.
	HeaderResumeFrom = "X-Resume-From"
	// HeaderNotRun is "true" on a response with which the target states that it
	// did not run the request.
	HeaderNotRun = "X-Not-Run"
	// HeaderFencingToken carries the fencing token of an order.
	HeaderFencingToken = "X-Fencing-Token"
)

// A Request is a request as it is sent to a target. Incarnation and Weights are
// empty for services. If Resume is not zero, the stream of an earlier attempt is
// resumed at this event offset.
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

// A Response is a target's response, of which the status and the headers have been
// received. The body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// A Result is the outcome of a Send: Responded, NotRun or Lost.
type Result interface{ result() }

// Responded reports that the target started to respond.
type Responded struct{ Response Response }

// NotRun reports that the target certainly did not run the request: nothing of
// it was sent, or the target stated so.
type NotRun struct {
	Reason string
	// Stale reports whether the target has another incarnation or weights version
	// than the request was routed for.
	Stale bool
	// Unreachable reports whether no connection could be made.
	Unreachable bool
}

// Lost reports that no valid response was received, although the target may have
// run the request.
type Lost struct{ Err error }

func (Responded) result() {}
func (NotRun) result()    {}
func (Lost) result()      {}

// A Report is the state that an engine reports of itself. It may be slightly out
// of date. Queued and Running count requests, PendingTokens is the number of
// prompt tokens not yet computed, PrefillRate is in prompt tokens per second, and
// EvictionRate is in pieces per second.
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

// A Loaded is a model that an engine has loaded.
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

// A CacheEvent is a change of an engine's prefix cache. Within an incarnation,
// sequence numbers start at one and increase by one.
type CacheEvent struct {
	Sequence    uint64   `json:"sequence"`
	Incarnation string   `json:"incarnation"`
	Weights     string   `json:"weights"`
	Kind        string   `json:"kind"`
	Pieces      []uint64 `json:"pieces"`
}

// A CacheSnapshot is the content of an engine's prefix cache at a sequence number.
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

// An Order asks an engine to reach a desired state. It is idempotent. Lifetime
// bounds the time from sending the order until it has been carried out.
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

// OrderDone reports that the engine carried out the order.
type OrderDone struct{}

// OrderRefused reports that the engine did not carry out the order. Fenced
// reports whether the reason is that the engine has seen a newer fencing token.
type OrderRefused struct {
	Reason string
	Fenced bool
}

// OrderLost reports that no valid response was received, although the engine may
// have carried out the order.
type OrderLost struct{ Err error }

func (OrderDone) orderResult()    {}
func (OrderRefused) orderResult() {}
func (OrderLost) orderResult()    {}

// A Client implements the protocol of targets. Addresses have the form IP:port.
//
// Over HTTP, engines serve the paths /load, /events?after=N (one JSON object per
// line), /snapshot, /orders, /cancel?id=N and /import, and KV caches serve
// /pieces?keys=K,L. Requests keep the path used by the caller.
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

// A CacheReader is a Client that can query the content of KV caches.
type CacheReader interface {
	// Cached returns the number of leading pieces that the KV cache at address
	// contains.
	Cached(ctx context.Context, address string, pieces []uint64) (int, error)
}
