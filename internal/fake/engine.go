package fake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/target"
)

// Defaults of EngineOptions.
const (
	defaultSlots         = 4
	defaultQueueLimit    = 64
	defaultCachePieces   = 64
	defaultPieceTokens   = 2048
	defaultPrefillRate   = 400_000
	defaultTokenInterval = time.Millisecond
	defaultMaxTokens     = 16
)

// bytesPerToken converts the length of a request body to prompt tokens.
const bytesPerToken = 4

// EngineOptions are the options of an Engine. Zero values are replaced by
// defaults.
type EngineOptions struct {
	// Name is the prefix of the incarnation names.
	Name    string
	Model   string
	Version string
	// Slots is the number of requests that run concurrently, and QueueLimit the
	// number that may wait.
	Slots       int
	QueueLimit  int
	CachePieces int
	PieceTokens int
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate   float64
	TokenInterval time.Duration
	// DefaultMaxTokens is the number of tokens generated for a request without
	// max_tokens.
	DefaultMaxTokens int
	// MaxReportAge is the age up to which the last load report is returned
	// instead of a new one.
	MaxReportAge time.Duration
	// EventDelay is the time between a change of the cache and the sending of
	// its event.
	EventDelay time.Duration
	// Fencing makes the engine reject orders whose fencing token is lower than
	// the highest one received.
	Fencing bool
	// Weights is the store that the engine loads models from. Engines may share
	// it.
	Weights *WeightStore
	// KVCacheAddress is the address of a KV cache to which the engine exports
	// the pieces that it computed.
	KVCacheAddress string
	// Client sends the requests to the KV cache.
	Client *http.Client
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.Name, "engine")
	setDefault(&o.Version, "v1")
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.QueueLimit, defaultQueueLimit)
	setDefault(&o.CachePieces, defaultCachePieces)
	setDefault(&o.PieceTokens, defaultPieceTokens)
	setDefault(&o.PrefillRate, defaultPrefillRate)
	setDefault(&o.TokenInterval, defaultTokenInterval)
	setDefault(&o.DefaultMaxTokens, defaultMaxTokens)
	if o.Weights == nil {
		o.Weights = NewWeightStore(0)
	}
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// An Engine is a stand-in for a model engine: an http.Handler with a limited
// prefix cache, continuous batching, resumable streams and fault injection.
type Engine struct {
	*Recorder
	opts EngineOptions
	mux  *http.ServeMux

	mu           sync.Mutex
	incarnations int
	crashCtx     context.Context
	crash        context.CancelFunc
	stallCtx     context.Context
	stall        context.CancelFunc
	faults       faults

	slots         *semaphore
	compute       *semaphore
	cache         *pieceSet
	log           eventLog
	running       int
	pendingTokens int
	evicted       int
	runs          map[string]*run
	finished      []string
	report        target.Report
	loaded        []target.Loaded
	weights       string
	role          string
	fencingToken  int64
	orders        []target.Order
	usage         Usage
}

// Usage counts the prompt tokens that an engine received, the prompt tokens that
// it computed, and the piece keys whose salt differed from that of the cached
// piece.
type Usage struct {
	PromptTokens   int
	ComputedTokens int
	SaltMismatches int
}

// NewEngine returns an Engine in its first incarnation.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{Recorder: NewRecorder(), opts: o.withDefaults(), mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/", e.serveRun)
	e.mux.HandleFunc("POST /cancel", e.serveCancel)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /events", e.serveEvents)
	e.mux.HandleFunc("GET /snapshot", e.serveSnapshot)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	e.mux.HandleFunc("POST /import", e.serveImport)
	e.mux.HandleFunc("POST /export", e.serveExport)
	e.role = "mixed"
	e.weights = e.opts.Version
	e.loaded = []target.Loaded{{Model: e.opts.Model, Version: e.opts.Version}}
	e.startIncarnation()
	return e
}

// startIncarnation starts a new incarnation with an empty cache. The caller
// holds mu, or is the constructor.
func (e *Engine) startIncarnation() {
	e.incarnations++
	e.crashCtx, e.crash = context.WithCancel(context.Background())
	e.stallCtx, e.stall = context.WithCancel(context.Background())
	e.slots = newSemaphore(e.opts.Slots)
	e.compute = newSemaphore(1)
	e.cache = newPieceSet(e.opts.CachePieces)
	e.log = newEventLog(e.incarnation())
	e.runs = map[string]*run{}
	e.finished = nil
	e.running, e.pendingTokens, e.evicted = 0, 0, 0
	e.report = target.Report{}
	e.recordEvent(target.EventCleared, nil)
}

// incarnation returns the name of the current incarnation. The caller holds mu.
func (e *Engine) incarnation() string {
	return fmt.Sprintf("%s-%d", e.opts.Name, e.incarnations)
}

// scope returns the scope of a new request. The caller holds mu.
func (e *Engine) scope() scope { return scope{crashCtx: e.crashCtx, stallCtx: e.stallCtx} }

// recordEvent adds an event to the feed. The caller holds mu.
func (e *Engine) recordEvent(kind string, pieces []uint64) {
	e.log.add(kind, e.weights, pieces, e.faults.takeDroppedEvent())
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.faults.down
	w.Header().Set(target.HeaderIncarnation, e.incarnation())
	w.Header().Set(target.HeaderWeights, e.weights)
	e.mu.Unlock()
	if down {
		abort()
	}
	e.mux.ServeHTTP(w, r)
}

// Incarnation returns the name of the current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation()
}

// Usage returns the token counts since the engine was created.
func (e *Engine) Usage() Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usage
}

// Pieces returns the sorted keys of all cached pieces.
func (e *Engine) Pieces() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.keys()
}
