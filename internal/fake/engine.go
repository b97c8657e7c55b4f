package fake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/target"
)

// Values that EngineOptions fall back to.
const (
	defaultSlots         = 4
	defaultQueue         = 64
	defaultCachePieces   = 64
	defaultPieceTokens   = 2048
	defaultPrefillRate   = 400_000
	defaultTokenInterval = time.Millisecond
	defaultOutput        = 16
)

// bytesPerToken is the size of a token of a prompt.
const bytesPerToken = 4

// EngineOptions are the options of an Engine. Zero values are replaced by
// defaults.
type EngineOptions struct {
	// Name starts the names of the incarnations.
	Name    string
	Model   string
	Version string
	// Slots is the number of requests that run at once, and Queue the number
	// that may wait.
	Slots       int
	QueueLimit  int
	CachePieces int
	PieceTokens int
	// PrefillRate is the number of prompt tokens computed a second.
	PrefillRate   float64
	TokenInterval time.Duration
	// Output is the number of tokens of an answer without a limit.
	DefaultMaxTokens int
	// LoadLag is the largest age of a report.
	MaxReportAge time.Duration
	// EventDelay is the time between a change of the cache and its event.
	EventDelay time.Duration
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// Weights is where the engine loads models from, shared between engines.
	Weights *WeightStore
	// Cache is the address of a KV cache to which the engine exports what it
	// computed.
	KVCacheAddress string
	// Client reaches the KV cache.
	Client *http.Client
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.Name, "engine")
	setDefault(&o.Version, "v1")
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.QueueLimit, defaultQueue)
	setDefault(&o.CachePieces, defaultCachePieces)
	setDefault(&o.PieceTokens, defaultPieceTokens)
	setDefault(&o.PrefillRate, defaultPrefillRate)
	setDefault(&o.TokenInterval, defaultTokenInterval)
	setDefault(&o.DefaultMaxTokens, defaultOutput)
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

// An Engine is a stand-in of a model engine: an http.Handler with a limited
// prefix cache, continuous batching, resumable streams and failures on request.
type Engine struct {
	*Recorder
	opts EngineOptions
	mux  *http.ServeMux

	mu     sync.Mutex
	births int
	life   context.Context
	kill   context.CancelFunc
	feeds  context.Context
	mute   context.CancelFunc
	faults faults

	slots    *gate
	compute  *gate
	cache    *pieceSet
	log      eventLog
	running  int
	pending  int
	evicted  int
	runs     map[string]*run
	finished []string
	report   target.Report
	loaded   []target.Loaded
	weights  string
	role     string
	fence    int64
	orders   []target.Order
	usage    Usage
}

// Usage counts the prompt tokens that an engine was asked for, those that it
// computed, and keys that came with another salt than the cached entry.
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
	e.start()
	return e
}

// start begins a new incarnation with an empty cache. The caller holds mu, or
// is the constructor.
func (e *Engine) start() {
	e.births++
	e.life, e.kill = context.WithCancel(context.Background())
	e.feeds, e.mute = context.WithCancel(context.Background())
	e.slots = newGate(e.opts.Slots)
	e.compute = newGate(1)
	e.cache = newPieceSet(e.opts.CachePieces)
	e.log = newEventLog(e.incarnation())
	e.runs = map[string]*run{}
	e.finished = nil
	e.running, e.pending, e.evicted = 0, 0, 0
	e.report = target.Report{}
	e.record(target.EventCleared, nil)
}

// incarnation returns the name of the current incarnation. The caller holds mu.
func (e *Engine) incarnation() string {
	return fmt.Sprintf("%s-%d", e.opts.Name, e.births)
}

// scope returns the scope of a new connection. The caller holds mu.
func (e *Engine) scope() scope { return scope{life: e.life, feeds: e.feeds} }

// record adds an event to the feed. The caller holds mu.
func (e *Engine) record(kind string, pieces []uint64) {
	e.log.add(kind, e.weights, pieces, e.faults.takeLostEvent())
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

// Usage returns the prompt tokens asked for and computed so far.
func (e *Engine) Usage() Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usage
}

// Pieces returns the keys of all cached pieces, sorted.
func (e *Engine) Pieces() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.keys()
}
