// Package caller is the HTTP interface for callers: which VM to use, chat
// completions on model routes, and requests to plain services.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/justinas/alice"

	"github.com/baobabdyke/baobabdyke/claim"
	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/entry"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/queue"
	"github.com/baobabdyke/baobabdyke/store"
)

// Headers of the callers' interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Baobabdyke-Outcome"
	HeaderPrefix         = "Baobabdyke-Prefix"
)

// A Configuration is the configuration in force on this VM.
type Configuration interface {
	Current() *config.View
	// Fresh tells whether this VM may still serve keyed routes.
	Fresh() bool
}

// A Limiter holds customers to their rates.
type Limiter interface {
	Reserve(ctx context.Context, customer string, c limit.Cost) limit.Decision
	Settle(r limit.Reservation, used limit.Cost)
}

// A Queue holds requests until they may run.
type Queue interface {
	Acquire(ctx context.Context, t queue.Ticket) queue.Outcome
}

// A Claimer remembers requests with an idempotency key.
type Claimer interface {
	Begin(ctx context.Context, n claim.Request) claim.Result
	Finish(ctx context.Context, t claim.Ticket, a claim.Response) error
	Abandon(ctx context.Context, t claim.Ticket) error
}

// A Runner runs one request on targets.
type Runner interface {
	Run(ctx context.Context, j dispatch.Job, w http.ResponseWriter) dispatch.Outcome
}

// A Placer answers which VMs to use.
type Placer interface {
	Resolve(r entry.Request) entry.Response
}

// Bounds limit what one caller can take of a VM.
type Bounds struct {
	// Body is the largest request body in bytes.
	Body int64
	// BodyTime is how long a caller may take to send its body.
	BodyTime time.Duration
	// Answer is the largest answer to a once-only request in bytes.
	Answer int
}

// Options are the parts that a Handler puts together.
type Options struct {
	Config     Configuration
	Limiter    Limiter
	Queue      Queue
	Claims     Claimer
	Runner     Runner
	Placer     Placer
	Clock      store.Clock
	Log        log.Logger
	Bounds     Bounds
	DataCentre string
	// Accepting tells whether this VM takes requests; nil is a yes.
	Accepting func() error
	// Draining tells whether this VM stops as planned, so that connections must
	// not be used again; nil is a no.
	Draining func() bool
}

// A Handler serves the callers' port.
type Handler struct {
	opts    Options
	running *Running
	counts  *Counters
	chain   http.Handler
}

// NewHandler returns the handler of the callers' port.
func NewHandler(opts Options) *Handler {
	h := &Handler{opts: opts, running: NewRunning(), counts: NewCounters()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /entry", h.entry)
	mux.HandleFunc("POST /v1/chat/completions", h.chat)
	mux.HandleFunc("/s/{route}/{path...}", h.service)
	mux.HandleFunc("/", h.notFound)
	h.chain = alice.New(h.identify, h.accept).Then(mux)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.chain.ServeHTTP(w, r)
}

// Apply ends the running answers whose key the configuration cuts.
func (h *Handler) Apply(v *config.View) {
	h.running.Cut(v)
}

// Dump returns the counters and running requests for the state dump.
func (h *Handler) Dump() any {
	return struct {
		Counts  Counts          `json:"counts"`
		Running []RunningRecord `json:"running"`
	}{h.counts.Snapshot(), h.running.Records()}
}

// identify gives each request an id and puts it into the answer.
func (h *Handler) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := newID(r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderRequestID, id)
		next.ServeHTTP(w, r.WithContext(withID(r.Context(), id)))
	})
}

// accept refuses requests while this VM is not ready. While it drains, callers
// are told to close their connections, so that none sends a request on one that
// is about to be closed.
func (h *Handler) accept(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.opts.Draining != nil && h.opts.Draining() {
			w.Header().Set("Connection", "close")
		}
		if h.opts.Accepting != nil {
			if err := h.opts.Accepting(); err != nil {
				h.refuse(w, r, notRunFailure(http.StatusServiceUnavailable, CodeUnavailable, err.Error(), time.Second))
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	message := "there is no such path; see /entry, /v1/chat/completions and /s/<route>/"
	h.refuse(w, r, notRunFailure(http.StatusNotFound, CodeNotFound, message, 0))
}
